// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads the value at a JSON parser's current token. A value of an unexpected type causes a {@link
 * SimulatorFormatException} that names its field.
 */
final class FieldParser {

    private static final int HEXADECIMAL = 16;
    private static final int MICROS_PER_MILLI = 1_000;

    private final JsonParser in;

    FieldParser(JsonParser in) {
        this.in = in;
    }

    /** Converts milliseconds of simulated time, rounded to the nearest microsecond. */
    static long micros(double millis) {
        return Math.round(millis * MICROS_PER_MILLI);
    }

    static void require(boolean holds, String message) {
        if (!holds) {
            throw new SimulatorFormatException(message);
        }
    }

    /** A string, or a number or boolean as its text; null for JSON's null. */
    String text() throws IOException {
        require(in.currentToken().isScalarValue(), in.currentName() + " is text");
        return in.currentToken() == JsonToken.VALUE_NULL ? null : in.getText();
    }

    /** A number; {@code absent} for null. */
    double number(double absent) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return absent;
        }
        require(in.currentToken().isNumeric(), in.currentName() + " is a number");
        return in.getDoubleValue();
    }

    /** An integer; {@code absent} for null. */
    long integer(long absent) throws IOException {
        if (in.currentToken() == JsonToken.VALUE_NULL) {
            return absent;
        }
        require(in.currentToken().isNumeric(), in.currentName() + " is an integer");
        return in.getLongValue();
    }

    /** Up to 16 hexadecimal digits; 0 for null. */
    long hexadecimal() throws IOException {
        String digits = text();
        try {
            return digits == null ? 0 : Long.parseUnsignedLong(digits, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new SimulatorFormatException(in.currentName() + " is up to 16 hex digits");
        }
    }

    /** The low 64 bits of an integer of any size. */
    long lowBits() throws IOException {
        require(
                in.currentToken() == JsonToken.VALUE_NUMBER_INT,
                in.currentName() + " is an integer");
        return in.getBigIntegerValue().longValue();
    }

    /** A boolean; false for null. */
    boolean bool() throws IOException {
        JsonToken token = in.currentToken();
        require(
                token.isBoolean() || token == JsonToken.VALUE_NULL,
                in.currentName() + " is a bool");
        return token == JsonToken.VALUE_TRUE;
    }
}
