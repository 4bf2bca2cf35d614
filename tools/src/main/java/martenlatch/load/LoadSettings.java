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
 * A load as a TOML file describes it: either shapes or a trace, and the classes that they send.
 *
 * @param shapes one after the other; empty where a trace is played
 * @param poisson whether gaps between arrivals are drawn or even
 * @param trace the recorded traffic, or null
 * @param speed how much faster than recorded a trace is played
 * @param mostBadShare of a trace's lines, 0 to 1
 */
public record LoadSettings(
        LoadPlan plan,
        List<LoadClass> kinds,
        List<Shape> shapes,
        boolean poisson,
        long seed,
        Path trace,
        double speed,
        double mostBadShare) {

    private static final Set<String> NAMES = Set.of(
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
    private static final Set<String> KIND_NAMES =
            Set.of("name", "share", "effect", "body-bytes", "deadline-ms", "retries");

    /** Reads a file; what can't be used is an exception whose message names field and value. */
    public static LoadSettings read(Path file) throws IOException {
        return of(TomlFile.read(file), file.toAbsolutePath().getParent());
    }

    private static LoadSettings of(JsonNode file, Path folder) {
        TomlFile.knownOnly("", file, NAMES);
        List<InetSocketAddress> targets = new ArrayList<>();
        file.path("targets").forEach(one -> targets.add(SocketAddresses.parse("targets", one.textValue())));
        List<LoadClass> kinds = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (JsonNode one : file.path("class")) {
            LoadClass kind = kind(one);
            if (!names.add(kind.name())) {
                throw new IllegalArgumentException(
                        "class.name must be one of a kind but two are \"" + kind.name() + "\"");
            }
            kinds.add(kind);
        }
        if (kinds.isEmpty()) {
            throw new IllegalArgumentException("class must be there at least once ([[class]])");
        }
        List<Shape> shapes = new ArrayList<>();
        file.path("shapes").forEach(one -> shapes.add(Shape.parse(one.asText())));
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
                kinds,
                shapes,
                spacing.equals("poisson"),
                TomlFile.whole("seed", file.path("seed"), 1),
                shapes.isEmpty() ? folder.resolve(file.path("trace").asText()) : null,
                TomlFile.number("trace-speed", file.path("trace-speed"), 1),
                TomlFile.number("trace-bad-share", file.path("trace-bad-share"), 0));
    }

    private static LoadClass kind(JsonNode one) {
        TomlFile.knownOnly("class.", one, KIND_NAMES);
        try {
            return new LoadClass(
                    one.path("name").asText(""),
                    TomlFile.number("share", one.path("share"), 1),
                    LoadClass.Effect.parse(one.path("effect").asText("")),
                    TomlFile.whole("body-bytes", one.path("body-bytes"), 0),
                    TomlFile.whole("deadline-ms", one.path("deadline-ms"), 1000),
                    TomlFile.whole("retries", one.path("retries"), 0));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("class." + e.getMessage(), e);
        }
    }

    /** Its arrivals; a trace is checked whole before, and {@code complaints} hears what is left out of it. */
    public Arrivals arrivals(Consumer<String> complaints) throws IOException {
        if (trace == null) {
            return Arrivals.drawn(new Schedule(shapes, poisson, seed), kinds, seed + 1);
        }
        Trace checked = Trace.check(trace, kinds, mostBadShare);
        checked.complaints().forEach(complaints);
        if (checked.bad() > 0) {
            complaints.accept(checked.bad() + " of " + checked.lines() + " lines of the trace are left out");
        }
        return checked.play(speed);
    }
}
