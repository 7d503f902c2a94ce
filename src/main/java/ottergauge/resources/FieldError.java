// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/** What is wrong: the key, the value found there (shortened), and the form that is allowed. */
public record FieldError(String key, String value, String allowed) {

    private static final int MAX_VALUE_CHARACTERS = 80;
    private static final int MAX_KEY_CHARACTERS = 200;

    /**
     * Key and value are cut to a length that fits a log line, and control characters are replaced.
     */
    public FieldError {
        key = oneLine(key, MAX_KEY_CHARACTERS);
        value = oneLine(value, MAX_VALUE_CHARACTERS);
    }

    /** A text from outside, as it may stand in a log line. */
    static String oneLine(String text, int max) {
        String cut = text.length() <= max ? text : text.substring(0, max) + "...";
        return cut.replaceAll("[\\p{Cntrl}\\p{Cs}\u2028\u2029]", "?");
    }

    /** One line for a person. */
    @Override
    public String toString() {
        return key + " is " + allowed + ", not " + value;
    }
}
