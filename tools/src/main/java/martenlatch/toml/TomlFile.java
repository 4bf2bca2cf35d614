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

/** A settings file (TOML 1.0): each thing that can't be used is an exception that names field and value. */
public final class TomlFile {

    private TomlFile() {}

    /** Reads a file as a tree. */
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
     * Refuses a table with a field that is none of these; {@code prefix} is that of their names in messages.
     */
    public static void knownOnly(String prefix, JsonNode table, Set<String> names) {
        for (Iterator<String> it = table.fieldNames(); it.hasNext(); ) {
            String name = it.next();
            if (!names.contains(name)) {
                throw new IllegalArgumentException(prefix + name + " is no setting; there are " + new TreeSet<>(names));
            }
        }
    }

    /** A whole number, or what holds where there is none. */
    public static int whole(String field, JsonNode value, int absent) {
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isInt()) {
            throw new IllegalArgumentException(field + " must be a whole number but is " + value);
        }
        return value.intValue();
    }

    /** A number, or what holds where there is none. */
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
