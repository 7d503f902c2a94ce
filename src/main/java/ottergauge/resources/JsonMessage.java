// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Map;
import ottergauge.protocol.ProtocolException;
import ottergauge.settings.JsonTree;

/**
 * Reads and writes messages that are one JSON object each. The message length, nesting depth and
 * text length are limited because messages are untrusted input.
 */
final class JsonMessage {

    static final int MAX_DEPTH = 32;
    static final int MAX_TEXT_CHARACTERS = 64 * 1024;
    static final int MAX_NAME_CHARACTERS = 1_024;
    static final int MAX_NUMBER_CHARACTERS = 64;

    private static final int MAX_CAUSE_CHARACTERS = 200;
    private static final JsonFactory JSON =
            JsonFactory.builder()
                    .streamReadConstraints(
                            StreamReadConstraints.builder()
                                    .maxNestingDepth(MAX_DEPTH)
                                    .maxStringLength(MAX_TEXT_CHARACTERS)
                                    .maxNameLength(MAX_NAME_CHARACTERS)
                                    .maxNumberLength(MAX_NUMBER_CHARACTERS)
                                    .build())
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    // Field names are untrusted input, and interned names would never be freed.
                    .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                    .build();

    /**
     * Reads one field. The parser is at the start of the value and has to be at the end of the
     * value afterwards.
     */
    interface FieldHandler {
        void read(String name, JsonParser in) throws IOException, ProtocolException;
    }

    /** Reads one object of a list. */
    interface ElementHandler {
        void read(int index, Map<String, Object> element) throws ProtocolException;
    }

    /** Writes the fields of the message. */
    interface Writer {
        void write(JsonGenerator out) throws IOException;
    }

    private JsonMessage() {}

    /** Reads a message field by field; {@code what} names the message in exceptions. */
    static void read(byte[] body, String what, int maxBytes, FieldHandler handler)
            throws ProtocolException {
        if (body.length > maxBytes) {
            throw new ProtocolException(
                    what + " has " + body.length + " bytes, " + maxBytes + " are allowed");
        }
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ProtocolException(what + " is no JSON object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                handler.read(name, in);
            }
            if (in.nextToken() != null) {
                throw new ProtocolException(what + " has something behind its object");
            }
        } catch (IOException e) {
            throw new ProtocolException(what + " is no JSON: " + cause(e));
        }
    }

    private static String cause(IOException e) {
        String message =
                e instanceof JsonProcessingException json
                        ? json.getOriginalMessage()
                        : e.getMessage();
        return FieldError.oneLine(String.valueOf(message), MAX_CAUSE_CHARACTERS);
    }

    /** Reads a message into nested maps and lists. */
    static Map<String, Object> readTree(byte[] body, String what, int maxBytes)
            throws ProtocolException {
        Map<String, Object> tree = new LinkedHashMap<>();
        read(body, what, maxBytes, (name, in) -> tree.put(name, JsonTree.value(in)));
        return tree;
    }

    /** Reads a list of at most {@code max} objects, one at a time. */
    static void readList(String name, JsonParser in, int max, ElementHandler handler)
            throws IOException, ProtocolException {
        if (in.currentToken() != JsonToken.START_ARRAY) {
            throw new ProtocolException(name + " is a list, not " + in.currentToken());
        }
        for (int i = 0; in.nextToken() != JsonToken.END_ARRAY; i++) {
            if (i == max) {
                throw new ProtocolException(name + " has more than " + max + " entries");
            }
            if (in.currentToken() != JsonToken.START_OBJECT) {
                throw new ProtocolException(
                        name + "[" + i + "] is an object, not " + in.currentToken());
            }
            handler.read(i, JsonTree.object(in));
        }
    }

    /** Writes a message whose fields are written by {@code fields}. */
    static byte[] write(Writer fields) {
        return writeValue(
                out -> {
                    out.writeStartObject();
                    fields.write(out);
                    out.writeEndObject();
                });
    }

    /** Writes a single value without an enclosing message. */
    static byte[] writeValue(Writer value) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            value.write(out);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
