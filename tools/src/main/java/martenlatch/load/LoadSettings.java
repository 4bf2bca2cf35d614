package martenlatch.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import martenlatch.config.SocketAddresses;
import martenlatch.toml.TomlFile;

/**
 * The settings of a load run, read from a TOML file: request classes, and either shapes or a trace.
 *
 * @param shapes rates over time, one after the other; empty if a trace is replayed
 * @param poisson whether arrivals form a Poisson process; else they are evenly spaced
 * @param trace the recorded traffic, or null
 * @param speed speed of the replay, relative to the recording
 * @param maxBadShare largest allowed share of invalid lines in a trace, 0 to 1
 */
public record LoadSettings(
        LoadPlan plan,
        List<LoadClass> classes,
        List<Shape> shapes,
        boolean poisson,
        long seed,
        Path trace,
        double speed,
        double maxBadShare) {

    private static final Set<String> FIELDS = Set.of(
            "targets",
            "workers",
            "connections",
            "warm-seconds",
            "class",
            "shapes",
            "arrivals",
            "seed",
            "trace",
            "trace-speed",
            "trace-bad-share");
    private static final Set<String> CLASS_FIELDS =
            Set.of("name", "share", "effect", "body-bytes", "deadline-ms", "retries");

    /** Reads a file; throws an exception that names the field and the value if a setting is invalid. */
    public static LoadSettings read(Path file) throws IOException {
        return of(TomlFile.read(file), file.toAbsolutePath().getParent());
    }

    private static LoadSettings of(JsonNode file, Path folder) {
        TomlFile.knownOnly("", file, FIELDS);
        List<InetSocketAddress> targets = new ArrayList<>();
        file.path("targets").forEach(target -> targets.add(SocketAddresses.parse("targets", target.textValue())));
        List<LoadClass> classes = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonNode table : file.path("class")) {
            LoadClass loadClass = parseClass(table);
            if (!names.add(loadClass.name())) {
                throw new IllegalArgumentException(
                        "class.name must be unique but two are \"" + loadClass.name() + "\"");
            }
            classes.add(loadClass);
        }
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("class must be present at least once ([[class]])");
        }
        List<Shape> shapes = new ArrayList<>();
        file.path("shapes").forEach(shape -> shapes.add(Shape.parse(shape.asText())));
        if (shapes.isEmpty() == file.path("trace").isMissingNode()) {
            throw new IllegalArgumentException("there must be shapes or a trace, one of them, but there "
                    + (shapes.isEmpty() ? "is neither" : "are both"));
        }
        String spacing = file.path("arrivals").asText("poisson");
        if (!spacing.equals("poisson") && !spacing.equals("even")) {
            throw new IllegalArgumentException("arrivals must be poisson or even but is \"" + spacing + "\"");
        }
        return new LoadSettings(
                new LoadPlan(
                        targets,
                        TomlFile.whole("workers", file.path("workers"), 1),
                        TomlFile.whole("connections", file.path("connections"), 256),
                        TomlFile.number("warm-seconds", file.path("warm-seconds"), 0)),
                classes,
                shapes,
                spacing.equals("poisson"),
                TomlFile.whole("seed", file.path("seed"), 1),
                shapes.isEmpty() ? folder.resolve(file.path("trace").asText()) : null,
                TomlFile.number("trace-speed", file.path("trace-speed"), 1),
                TomlFile.number("trace-bad-share", file.path("trace-bad-share"), 0));
    }

    private static LoadClass parseClass(JsonNode table) {
        TomlFile.knownOnly("class.", table, CLASS_FIELDS);
        try {
            return new LoadClass(
                    table.path("name").asText(""),
                    TomlFile.number("share", table.path("share"), 1),
                    LoadClass.Effect.parse(table.path("effect").asText("")),
                    TomlFile.whole("body-bytes", table.path("body-bytes"), 0),
                    TomlFile.whole("deadline-ms", table.path("deadline-ms"), 1000),
                    TomlFile.whole("retries", table.path("retries"), 0));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("class." + e.getMessage(), e);
        }
    }

    /** Returns the arrivals. A trace is checked whole first; {@code complaints} receives a message per skipped line. */
    public Arrivals arrivals(Consumer<String> complaints) throws IOException {
        if (trace == null) {
            return Arrivals.drawn(new Schedule(shapes, poisson, seed), classes, seed + 1);
        }
        Trace checked = Trace.check(trace, classes, maxBadShare);
        checked.complaints().forEach(complaints);
        if (checked.bad() > 0) {
            complaints.accept(checked.bad() + " of " + checked.lines() + " lines of the trace are left out");
        }
        return checked.play(speed);
    }
}
