package martenlatch.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON values from a streaming parser into maps, lists, doubles, strings and booleans. */
public final class JsonValues {

    private JsonValues() {}

    /** Reads the value at the parser's current token: objects as maps, arrays as lists, numbers as doubles. */
    public static Object read(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return readObject(parser);
        }
        if (token == JsonToken.START_ARRAY) {
            return readArray(parser);
        }
        if (token.isNumeric()) {
            return parser.getDoubleValue();
        }
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        return token.isBoolean() ? (Object) parser.getBooleanValue() : parser.getText();
    }

    private static Map<String, Object> readObject(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, read(parser));
        }
        return object;
    }

    private static List<Object> readArray(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(read(parser));
        }
        return array;
    }
}
