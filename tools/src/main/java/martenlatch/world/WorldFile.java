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
 * The settings of an emulated world and its scheduled events, read from a TOML file.
 *
 * @param discoveryPort port on which discovery listens; 0 for a port of the system's choice
 * @param events in order of their times
 */
public record WorldFile(WorldSettings settings, int discoveryPort, List<ScheduledEvent> events) {

    private static final Set<String> FIELDS = Set.of(
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
    private static final Set<String> EVENT_FIELDS = Set.of("at", "do", "endpoint", "zone", "ms");

    /** Reads a file; throws an exception that names the field and the value if a setting is invalid. */
    public static WorldFile read(Path file) throws IOException {
        return of(TomlFile.read(file));
    }

    private static WorldFile of(JsonNode file) {
        TomlFile.knownOnly("", file, FIELDS);
        List<String> zones = new ArrayList<>();
        file.path("zones").forEach(zone -> zones.add(zone.asText()));
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
        List<ScheduledEvent> events = new ArrayList<>();
        for (JsonNode event : file.path("event")) {
            TomlFile.knownOnly("event.", event, EVENT_FIELDS);
            events.add(new ScheduledEvent(
                            TomlFile.number("event.at", event.path("at"), Double.NaN),
                            ScheduledEvent.Action.parse(event.path("do").asText("")),
                            TomlFile.whole("event.endpoint", event.path("endpoint"), -1),
                            event.path("zone").asText(""),
                            TomlFile.number("event.ms", event.path("ms"), Double.NaN))
                    .checkedWith(settings));
        }
        events.sort(Comparator.comparingDouble(ScheduledEvent::atSeconds));
        return new WorldFile(settings, port, List.copyOf(events));
    }
}
