// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/** Formats values for messages, integers without a fraction. */
final class NumberText {

    private static final double MAX_WITHOUT_EXPONENT = 1e15;

    private NumberText() {}

    static String of(Object value) {
        boolean isInteger =
                value instanceof Double number
                        && number == Math.rint(number)
                        && Math.abs(number) < MAX_WITHOUT_EXPONENT;
        return isInteger ? Long.toString(((Double) value).longValue()) : String.valueOf(value);
    }
}
