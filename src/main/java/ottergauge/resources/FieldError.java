// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * An invalid field of a message.
 *
 * @param key the path of the field, truncated
 * @param value the value of the field, truncated; "nothing" if it is missing
 * @param allowed the allowed form of the value
 */
public record FieldError(String key, String value, String allowed) {

    private static final int MAX_VALUE_CHARACTERS = 80;
    private static final int MAX_KEY_CHARACTERS = 200;

    /** Truncates the key and value for a log line and replaces their control characters. */
    public FieldError {
        key = oneLine(key, MAX_KEY_CHARACTERS);
        value = oneLine(value, MAX_VALUE_CHARACTERS);
    }

    /**
     * Truncates untrusted text and replaces its control characters, so that it fits one log line.
     */
    static String oneLine(String text, int max) {
        String cut = text.length() <= max ? text : text.substring(0, max) + "...";
        return cut.replaceAll("[\\p{Cntrl}\\p{Cs}\u2028\u2029]", "?");
    }

    /** Returns the error as one log line. */
    @Override
    public String toString() {
        return key + " is " + allowed + ", not " + value;
    }
}
