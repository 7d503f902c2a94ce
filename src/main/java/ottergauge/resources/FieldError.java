// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/**
 * An invalid field of a message.
 *
 * @param key the path of the field, shortened
 * @param value the value found there, shortened; "nothing" if it is missing
 * @param allowed the form that is allowed
 */
public record FieldError(String key, String value, String allowed) {

    private static final int MAX_VALUE_CHARACTERS = 80;
    private static final int MAX_KEY_CHARACTERS = 200;

    /** Shortens key and value for a log line and replaces their control characters. */
    public FieldError {
        key = oneLine(key, MAX_KEY_CHARACTERS);
        value = oneLine(value, MAX_VALUE_CHARACTERS);
    }

    /** Untrusted text, shortened and with control characters replaced, for a log line. */
    static String oneLine(String text, int max) {
        String cut = text.length() <= max ? text : text.substring(0, max) + "...";
        return cut.replaceAll("[\\p{Cntrl}\\p{Cs}\u2028\u2029]", "?");
    }

    /** One line for a log. */
    @Override
    public String toString() {
        return key + " is " + allowed + ", not " + value;
    }
}
