package martenlatch.load;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Parses the lines of a recorded trace: CSV (RFC 4180, one record per line) with a header, or one JSON object per line.
 * Fields: {@code time} (seconds, decimal, from any origin), {@code class}, {@code key}, {@code size} (bytes),
 * {@code deadline} (milliseconds). All but time are optional, and other fields are ignored. Throws an exception that
 * names the field and the value if a line is invalid.
 */
final class TraceFormat {

    private static final JsonFactory JSON = new JsonFactory();
    private static final ObjectReader CSV = new CsvMapper().readerFor(String[].class);
    private static final double MAX_TIME_SECONDS = 1e10;

    private final Map<String, LoadClass> classes;
    private final LoadClass defaultClass;
    /** The columns of a CSV file; null for JSON Lines. */
    private final List<String> columns;

    /**
     * Determines the format of a file.
     *
     * @param header first line of the file; if it begins with a brace, the file is JSON Lines
     * @param classes classes that lines may name; the first one applies to lines that name none
     */
    TraceFormat(String header, List<LoadClass> classes) throws IOException {
        this.classes = classes.stream().collect(Collectors.toMap(LoadClass::name, Function.identity()));
        defaultClass = classes.get(0);
        if (header.stripLeading().startsWith("{")) {
            columns = null;
        } else {
            columns = Arrays.stream(CSV.<String[]>readValue(header))
                    .map(String::strip)
                    .toList();
            if (!columns.contains("time")) {
                throw new IllegalArgumentException("the trace's first line must be a CSV header with a "
                        + "column time, or a JSON object, but is \"" + abbreviate(header) + "\"");
            }
        }
    }

    boolean hasHeader() {
        return columns != null;
    }

    /** A parsed line. */
    record Line(double seconds, LoadClass loadClass, String key, int bodyBytes, int deadlineMs) {}

    Line parse(String text) throws IOException {
        String[] fields = new String[5];
        if (columns == null) {
            json(text, fields);
        } else {
            String[] values = CSV.readValue(text);
            if (values == null || values.length != columns.size()) {
                throw new IllegalArgumentException(
                        "it must have " + columns.size() + " fields but has " + (values == null ? 0 : values.length));
            }
            for (int i = 0; i < values.length; i++) {
                set(fields, columns.get(i), values[i].strip());
            }
        }
        LoadClass loadClass = fields[1] == null || fields[1].isEmpty() ? defaultClass : classes.get(fields[1]);
        if (loadClass == null) {
            throw new IllegalArgumentException(
                    "class must be one of the settings' but is \"" + abbreviate(fields[1]) + "\"");
        }
        String key = fields[2] == null || fields[2].isEmpty() ? null : fields[2];
        if (key != null && !key.chars().allMatch(c -> c > ' ' && c < 127 && c != ';' && c != ',')) {
            throw new IllegalArgumentException("key must be plain ASCII but is \"" + abbreviate(key) + "\"");
        }
        return new Line(
                number("time", fields[0], 0, MAX_TIME_SECONDS, Double.NaN),
                loadClass,
                key,
                (int) number("size", fields[3], 0, LoadClass.MAX_BODY_BYTES, loadClass.bodyBytes()),
                (int) number("deadline", fields[4], 1, 600_000, loadClass.deadlineMs()));
    }

    private static void set(String[] fields, String name, String value) {
        switch (name) {
            case "time" -> fields[0] = value;
            case "class" -> fields[1] = value;
            case "key" -> fields[2] = value;
            case "size" -> fields[3] = value;
            case "deadline" -> fields[4] = value;
            default -> {}
        }
    }

    private static void json(String text, String[] fields) throws IOException {
        try (JsonParser in = JSON.createParser(text)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IllegalArgumentException("it must be a JSON object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                if (value.isStructStart()) {
                    in.skipChildren();
                } else if (value != JsonToken.VALUE_NULL) {
                    set(fields, name, in.getText());
                }
            }
            if (in.nextToken() != null) {
                throw new IllegalArgumentException("it must be one JSON object but more follows");
            }
        }
    }

    private static double number(String field, String text, double min, double max, double absent) {
        if (text == null || text.isEmpty()) {
            if (!Double.isNaN(absent)) {
                return absent;
            }
            throw new IllegalArgumentException(field + " is missing");
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= min && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(invalid(field, text, min, max), e);
        }
        throw new IllegalArgumentException(invalid(field, text, min, max));
    }

    private static String invalid(String field, String text, double min, double max) {
        return field + " must be a number from " + (long) min + " to " + (long) max + " but is \"" + abbreviate(text)
                + "\"";
    }

    private static String abbreviate(String text) {
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }
}
