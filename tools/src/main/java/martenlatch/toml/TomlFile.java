package martenlatch.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Set;
import java.util.TreeSet;

/** Reads settings from a TOML 1.0 file; throws exceptions that name the field and the value if a setting is invalid. */
public final class TomlFile {

    private TomlFile() {}

    /** Reads a file as a JSON tree. */
    public static JsonNode read(Path file) throws IOException {
        try {
            return new TomlMapper().readTree(Files.readAllBytes(file));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("the settings file is not there: " + file, e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not TOML: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Throws an exception if a table has a field that is not in {@code names}.
     *
     * @param prefix prefix of the field name in the message
     */
    public static void knownOnly(String prefix, JsonNode table, Set<String> names) {
        for (Iterator<String> fields = table.fieldNames(); fields.hasNext(); ) {
            String name = fields.next();
            if (!names.contains(name)) {
                throw new IllegalArgumentException(prefix + name + " is no setting; there are " + new TreeSet<>(names));
            }
        }
    }

    /** Returns a whole number, or {@code absent} if the value is missing. */
    public static int whole(String field, JsonNode value, int absent) {
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isInt()) {
            throw new IllegalArgumentException(field + " must be a whole number but is " + value);
        }
        return value.intValue();
    }

    /** Returns a number, or {@code absent} if the value is missing. */
    public static double number(String field, JsonNode value, double absent) {
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isNumber()) {
            throw new IllegalArgumentException(field + " must be a number but is " + value);
        }
        return value.doubleValue();
    }
}
