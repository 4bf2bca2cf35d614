package martenlatch.world;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A world and what happens to it, as a TOML file describes them.
 *
 * @param discoveryPort where discovery listens; 0 for one of the system's choice
 * @param happenings in order of their times
 */
public record WorldFile(WorldSettings settings, int discoveryPort, List<Happening> happenings) {

    private static final Set<String> NAMES = Set.of("endpoints", "zones", "service", "slots", "queue",
        "cold-ms",
        "cold-factor", "drain-grace-ms", "threads", "ids", "seed", "discovery-port", "event");
    private static final Set<String> EVENT_NAMES = Set.of("at", "do", "endpoint", "zone", "ms");

    /** Reads a file; what can't be used is an exception whose message names field and value. */
    public static WorldFile read(Path file) throws IOException {
        try {
            return of(new TomlMapper().readTree(Files.readAllBytes(file)));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("the settings file is not there: " + file, e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not TOML: " + e.getOriginalMessage(), e);
        }
    }

    private static WorldFile of(JsonNode file) {
        knownOnly("", file, NAMES);
        List<String> zones = new ArrayList<>();
        file.path("zones").forEach(one -> zones.add(one.asText()));
        WorldSettings settings = new WorldSettings(whole("endpoints", file.path("endpoints"), 4),
            zones.isEmpty() ? List.of("a") : zones, ServiceTime.parse(file.path("service")
            .asText("constant 5")),
            whole("slots", file.path("slots"), 64), whole("queue", file.path("queue"), 64),
            number("cold-ms", file.path("cold-ms"), 1000), number("cold-factor", file.path("cold-factor"), 3),
            number("drain-grace-ms", file.path("drain-grace-ms"), 500), whole("threads",
            file.path("threads"), 1),
            whole("ids", file.path("ids"), 2_000_000), whole("seed", file.path("seed"), 1));
        int port = whole("discovery-port", file.path("discovery-port"), 0);
        if (port < 0 || port > 65_535) {
            throw new IllegalArgumentException("discovery-port must be 0 to 65535 but is " + port);
        }
        List<Happening> happenings = new ArrayList<>();
        for (JsonNode one : file.path("event")) {
            knownOnly("event.", one, EVENT_NAMES);
            happenings.add(new Happening(number("event.at", one.path("at"), Double.NaN),
                Happening.What.parse(one.path("do").asText("")), whole("event.endpoint",
                one.path("endpoint"), -1),
                one.path("zone").asText(""), number("event.ms", one.path("ms"), Double.NaN))
                .checkedWith(settings));
        }
        happenings.sort(Comparator.comparingDouble(Happening::atSeconds));
        return new WorldFile(settings, port, List.copyOf(happenings));
    }

    private static void knownOnly(String prefix, JsonNode table, Set<String> names) {
        for (Iterator<String> it = table.fieldNames(); it.hasNext();) {
            String name = it.next();
            if (!names.contains(name)) {
                throw new IllegalArgumentException(prefix + name + " is no setting; there are "
                    + new TreeSet<>(names));
            }
        }
    }

    private static int whole(String field, JsonNode value, int absent) {
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isInt()) {
            throw new IllegalArgumentException(field + " must be a whole number but is " + value);
        }
        return value.intValue();
    }

    private static double number(String field, JsonNode value, double absent) {
        if (value.isMissingNode()) {
            return absent;
        }
        if (!value.isNumber()) {
            throw new IllegalArgumentException(field + " must be a number but is " + value);
        }
        return value.doubleValue();
    }
}
