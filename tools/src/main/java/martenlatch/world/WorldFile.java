package martenlatch.world;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import martenlatch.toml.TomlFile;

/**
 * A world and what happens to it, as a TOML file describes them.
 *
 * @param discoveryPort where discovery listens; 0 for one of the system's choice
 * @param happenings in order of their times
 */
public record WorldFile(WorldSettings settings, int discoveryPort, List<Happening> happenings) {

    private static final Set<String> NAMES = Set.of(
            "endpoints",
            "zones",
            "service",
            "slots",
            "queue",
            "cold-ms",
            "cold-factor",
            "drain-grace-ms",
            "threads",
            "ids",
            "seed",
            "discovery-port",
            "event");
    private static final Set<String> EVENT_NAMES = Set.of("at", "do", "endpoint", "zone", "ms");

    /** Reads a file; what can't be used is an exception whose message names field and value. */
    public static WorldFile read(Path file) throws IOException {
        return of(TomlFile.read(file));
    }

    private static WorldFile of(JsonNode file) {
        TomlFile.knownOnly("", file, NAMES);
        List<String> zones = new ArrayList<>();
        file.path("zones").forEach(one -> zones.add(one.asText()));
        WorldSettings settings = new WorldSettings(
                TomlFile.whole("endpoints", file.path("endpoints"), 4),
                zones.isEmpty() ? List.of("a") : zones,
                ServiceTime.parse(file.path("service").asText("constant 5")),
                TomlFile.whole("slots", file.path("slots"), 64),
                TomlFile.whole("queue", file.path("queue"), 64),
                TomlFile.number("cold-ms", file.path("cold-ms"), 1000),
                TomlFile.number("cold-factor", file.path("cold-factor"), 3),
                TomlFile.number("drain-grace-ms", file.path("drain-grace-ms"), 500),
                TomlFile.whole("threads", file.path("threads"), 1),
                TomlFile.whole("ids", file.path("ids"), 2_000_000),
                TomlFile.whole("seed", file.path("seed"), 1));
        int port = TomlFile.whole("discovery-port", file.path("discovery-port"), 0);
        if (port < 0 || port > 65_535) {
            throw new IllegalArgumentException("discovery-port must be 0 to 65535 but is " + port);
        }
        List<Happening> happenings = new ArrayList<>();
        for (JsonNode one : file.path("event")) {
            TomlFile.knownOnly("event.", one, EVENT_NAMES);
            happenings.add(new Happening(
                            TomlFile.number("event.at", one.path("at"), Double.NaN),
                            Happening.What.parse(one.path("do").asText("")),
                            TomlFile.whole("event.endpoint", one.path("endpoint"), -1),
                            one.path("zone").asText(""),
                            TomlFile.number("event.ms", one.path("ms"), Double.NaN))
                    .checkedWith(settings));
        }
        happenings.sort(Comparator.comparingDouble(Happening::atSeconds));
        return new WorldFile(settings, port, List.copyOf(happenings));
    }
}
