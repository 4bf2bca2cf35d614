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
 * The lines of a recorded trace, each made into a wish: CSV (RFC 4180, one record a line) with a header, or a
 * JSON object a line. Fields: {@code time} (seconds, decimal, from any origin), {@code class}, {@code key},
 * {@code size} (bytes), {@code deadline} (milliseconds); all but time may be absent, and others are passed
 * over. A line that can't be used is an exception whose message names field and value.
 */
final class TraceFormat {

    private static final JsonFactory JSON = new JsonFactory();
    private static final ObjectReader CSV = new CsvMapper().readerFor(String[].class);
    private static final double MOST_SECONDS = 1e10;

    private final Map<String, LoadClass> kinds;
    private final LoadClass usual;
    /** The columns of a CSV file; null for JSON Lines. */
    private final List<String> columns;

    /**
     * The format of a file.
     *
     * @param header its first line; one that begins with a brace is a line of JSON
     * @param kinds the classes that lines may name; the first is that of lines that name none
     */
    TraceFormat(String header, List<LoadClass> kinds) throws IOException {
        this.kinds = kinds.stream().collect(Collectors.toMap(LoadClass::name, Function.identity()));
        usual = kinds.get(0);
        if (header.stripLeading().startsWith("{")) {
            columns = null;
        } else {
            columns = Arrays.stream(CSV.<String[]>readValue(header))
                    .map(String::strip)
                    .toList();
            if (!columns.contains("time")) {
                throw new IllegalArgumentException("the trace's first line must be a CSV header with a "
                        + "column "
                        + "time, or a JSON object, but is \"" + shortened(header) + "\"");
            }
        }
    }

    boolean hasHeader() {
        return columns != null;
    }

    /** The time of a line in seconds, and all else that it tells. */
    record Line(double seconds, LoadClass kind, String key, int bodyBytes, int deadlineMs) {}

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
        LoadClass kind = fields[1] == null || fields[1].isEmpty() ? usual : kinds.get(fields[1]);
        if (kind == null) {
            throw new IllegalArgumentException(
                    "class must be one of the settings' but is \"" + shortened(fields[1]) + "\"");
        }
        String key = fields[2] == null || fields[2].isEmpty() ? null : fields[2];
        if (key != null && !key.chars().allMatch(c -> c > ' ' && c < 127 && c != ';' && c != ',')) {
            throw new IllegalArgumentException("key must be plain ASCII but is \"" + shortened(key) + "\"");
        }
        return new Line(
                number("time", fields[0], 0, MOST_SECONDS, Double.NaN),
                kind,
                key,
                (int) number("size", fields[3], 0, LoadClass.MOST_BODY, kind.bodyBytes()),
                (int) number("deadline", fields[4], 1, 600_000, kind.deadlineMs()));
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

    private static double number(String field, String text, double least, double most, double absent) {
        if (text == null || text.isEmpty()) {
            if (!Double.isNaN(absent)) {
                return absent;
            }
            throw new IllegalArgumentException(field + " is missing");
        }
        try {
            double value = Double.parseDouble(text);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(bad(field, text, least, most), e);
        }
        throw new IllegalArgumentException(bad(field, text, least, most));
    }

    private static String bad(String field, String text, double least, double most) {
        return field + " must be a number from " + (long) least + " to " + (long) most + " but is \"" + shortened(text)
                + "\"";
    }

    private static String shortened(String text) {
        return text.length() <= 60 ? text : text.substring(0, 60) + "...";
    }
}
