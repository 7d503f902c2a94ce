// SPDX-License-Identifier: Apache-2.0
package ottergauge.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, doubles, booleans and strings. */
public final class JsonTree {

    private JsonTree() {}

    /** Reads a file's content, which must be one object without trailing content. */
    public static Map<String, Object> read(byte[] content) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(content)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("is no JSON object");
            }
            Map<String, Object> tree = object(in);
            if (in.nextToken() != null) {
                throw new IOException("has something behind its object");
            }
            return tree;
        }
    }

    /** Writes a tree in the form that {@link #read} reads, with one key per line. */
    public static byte[] write(Map<String, Object> tree) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = new JsonFactory().createGenerator(bytes)) {
            out.useDefaultPrettyPrinter();
            write(out, tree);
        }
        return bytes.toByteArray();
    }

    /** Writes one value of such a tree. */
    public static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.writeFieldName(String.valueOf(entry.getKey()));
                write(out, entry.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object each : list) {
                write(out, each);
            }
            out.writeEndArray();
        } else if (value instanceof Double number
                && number == Math.rint(number)
                && Math.abs(number) < 1e15) {
            out.writeNumber(number.longValue());
        } else if (value instanceof Double number) {
            out.writeNumber(number);
        } else if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(String.valueOf(value));
        }
    }

    /** Reads the object whose opening brace is the current token. */
    public static Map<String, Object> object(JsonParser in) throws IOException {
        Map<String, Object> map = new LinkedHashMap<>();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            map.put(key, value(in));
        }
        return map;
    }

    /** Reads the value at the current token. */
    public static Object value(JsonParser in) throws IOException {
        return switch (in.currentToken()) {
            case START_OBJECT -> object(in);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (in.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(in));
                }
                yield list;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> in.getDoubleValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            default -> in.getText();
        };
    }
}
