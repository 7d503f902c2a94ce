// SPDX-License-Identifier: Apache-2.0
package ottergauge.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the JSON value at a parser's current token as maps, lists, doubles, booleans and strings. */
public final class JsonTree {

    private JsonTree() {
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

    private static Object value(JsonParser in) throws IOException {
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
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> in.getText();
        };
    }
}
