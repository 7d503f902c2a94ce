// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

/** Values as a person wrote them: whole numbers without a fraction. */
final class NumberText {

    private static final double MAX_PLAIN = 1e15;

    private NumberText() {}

    static String of(Object value) {
        boolean whole =
                value instanceof Double number
                        && number == Math.rint(number)
                        && Math.abs(number) < MAX_PLAIN;
        return whole ? Long.toString(((Double) value).longValue()) : String.valueOf(value);
    }
}
