package martenlatch.fleet.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import martenlatch.fleet.link.Conduct;
import martenlatch.load.LoadClass;
import martenlatch.toml.TomlFile;
import martenlatch.world.ServiceTime;
import martenlatch.world.WorldSettings;

/**
 * A run as its file describes it.
 *
 * @param seconds how long the load goes on
 * @param world endpoints and what they are like
 * @param discovery how it works through calls
 * @param faults by their times, with the parts that the seed has them hit
 */
public record Scenario(
        String name,
        String about,
        long seed,
        double seconds,
        Sizes sizes,
        Load load,
        WorldSettings world,
        ListService discovery,
        List<Fault> faults,
        Hold hold) {

    private static final Set<String> NAMES = Set.of(
            "name", "about", "seed", "seconds", "fleet", "load", "class", "endpoint", "discovery", "fault", "hold");
    private static final Set<String> DISCOVERY =
            Set.of("call-ms", "rejection-ms", "most-wait-ms", "ask-within-ms", "known");
    private static final Set<String> FLEET = Set.of("sidecars", "endpoints", "zones", "peers");
    private static final Set<String> LOAD = Set.of("rate", "skew", "notice-ms");
    private static final Set<String> CLASS =
            Set.of("name", "share", "effect", "body-bytes", "aim-ms", "deadline-ms", "retries", "worth");
    private static final Set<String> ENDPOINT = Set.of("service", "slots", "queue", "cold-ms", "cold-factor");
    private static final Set<String> FAULT = Set.of(
            "at",
            "for",
            "do",
            "who",
            "from",
            "to",
            "direction",
            "cut",
            "delay-ms",
            "jitter-ms",
            "loss",
            "duplicate",
            "reorder",
            "rate",
            "half",
            "share",
            "jar",
            "moves");
    private static final Set<String> HOLD = Set.of("recovery-seconds", "amplification", "served", "list-refusals");
    private static final double DRAIN_GRACE_MS = 500;
    private static final int MOST_IDS = 5_000_000;
    private static final double MOST_SECONDS = 3600;

    public Scenario {
        faults = List.copyOf(faults);
        if (!(seconds >= 1 && seconds <= MOST_SECONDS)) {
            throw new IllegalArgumentException("seconds must be 1 to 3600 but is " + seconds);
        }
    }

    /** Reads a file; what can't be used is an exception whose message names field and value. */
    public static Scenario read(Path file) throws IOException {
        return of(TomlFile.read(file));
    }

    /**
     * A seed of its own for each thing that draws: two that drew from the same would agree, and one sidecar
     * would get all requests of a class.
     */
    public long seedFor(Object what) {
        return new SplittableRandom(seed * 1_000_003 + what.hashCode()).nextLong();
    }

    /** The same run with other faults. */
    public Scenario with(List<Fault> others) {
        return new Scenario(name, about, seed, seconds, sizes, load, world, discovery, others, hold);
    }

    /** Of a file's tree. */
    public static Scenario of(JsonNode file) {
        TomlFile.knownOnly("", file, NAMES);
        JsonNode fleet = file.path("fleet");
        TomlFile.knownOnly("fleet.", fleet, FLEET);
        List<String> zones = new ArrayList<>();
        fleet.path("zones").forEach(zone -> zones.add(zone.asText()));
        Sizes sizes = new Sizes(
                TomlFile.whole("fleet.sidecars", fleet.path("sidecars"), 6),
                TomlFile.whole("fleet.endpoints", fleet.path("endpoints"), 12),
                zones.isEmpty() ? List.of("a") : zones,
                fleet.path("peers").asBoolean(false));
        long seed = TomlFile.whole("seed", file.path("seed"), 1);
        double seconds = TomlFile.number("seconds", file.path("seconds"), 10);
        return new Scenario(
                file.path("name").asText("unnamed"),
                file.path("about").asText(""),
                seed,
                seconds,
                sizes,
                load(file),
                world(file.path("endpoint"), sizes, seed),
                discovery(file.path("discovery")),
                faults(file.path("fault"), sizes, seed, seconds),
                hold(file.path("hold")));
    }

    private static Load load(JsonNode file) {
        JsonNode load = file.path("load");
        TomlFile.knownOnly("load.", load, LOAD);
        List<Load.ClassOf> classes = new ArrayList<>();
        for (JsonNode one : file.path("class")) {
            TomlFile.knownOnly("class.", one, CLASS);
            int deadline = TomlFile.whole("class.deadline-ms", one.path("deadline-ms"), 1000);
            try {
                LoadClass kind = new LoadClass(
                        one.path("name").asText(""),
                        TomlFile.number("class.share", one.path("share"), 1),
                        LoadClass.Effect.parse(one.path("effect").asText("")),
                        TomlFile.whole("class.body-bytes", one.path("body-bytes"), 0),
                        deadline,
                        TomlFile.whole("class.retries", one.path("retries"), 0));
                classes.add(new Load.ClassOf(
                        kind,
                        TomlFile.number("class.aim-ms", one.path("aim-ms"), deadline / 2.0),
                        TomlFile.number("class.worth", one.path("worth"), 1)));
            } catch (IllegalArgumentException e) {
                throw e.getMessage().startsWith("class.")
                        ? e
                        : new IllegalArgumentException("class." + e.getMessage(), e);
            }
        }
        return new Load(
                TomlFile.number("load.rate", load.path("rate"), 100),
                TomlFile.number("load.skew", load.path("skew"), 1),
                TomlFile.number("load.notice-ms", load.path("notice-ms"), 2000),
                classes);
    }

    private static WorldSettings world(JsonNode one, Sizes sizes, long seed) {
        TomlFile.knownOnly("endpoint.", one, ENDPOINT);
        return new WorldSettings(
                sizes.endpoints(),
                sizes.zones(),
                ServiceTime.parse(one.path("service").asText("lognormal 8 0.5")),
                TomlFile.whole("endpoint.slots", one.path("slots"), 16),
                TomlFile.whole("endpoint.queue", one.path("queue"), 32),
                TomlFile.number("endpoint.cold-ms", one.path("cold-ms"), 1500),
                TomlFile.number("endpoint.cold-factor", one.path("cold-factor"), 4),
                DRAIN_GRACE_MS,
                1,
                MOST_IDS,
                seed);
    }

    private static ListService discovery(JsonNode one) {
        TomlFile.knownOnly("discovery.", one, DISCOVERY);
        return new ListService(
                TomlFile.number("discovery.call-ms", one.path("call-ms"), 0),
                TomlFile.number("discovery.rejection-ms", one.path("rejection-ms"), 0),
                TomlFile.number("discovery.most-wait-ms", one.path("most-wait-ms"), 1000),
                TomlFile.number("discovery.ask-within-ms", one.path("ask-within-ms"), 10_000),
                ListService.KnownList.parse(one.path("known").asText("current")));
    }

    private static List<Fault> faults(JsonNode list, Sizes sizes, long seed, double seconds) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        double before = 0;
        for (JsonNode one : list) {
            TomlFile.knownOnly("fault.", one, FAULT);
            Fault fault = fault(one, faults.size(), sizes, random);
            if (fault.atMs() < before) {
                throw new IllegalArgumentException("fault.at must not be before that of the fault before ("
                        + before / 1000 + ") but is " + fault.atMs() / 1000);
            }
            if (!(fault.atMs() <= seconds * 1000)) {
                throw new IllegalArgumentException(
                        "fault.at must be within the run's " + seconds + " seconds but is " + one.path("at"));
            }
            before = fault.atMs();
            faults.add(fault);
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        return faults;
    }

    private static Fault fault(JsonNode one, int number, Sizes sizes, Random random) {
        double at = TomlFile.number("fault.at", one.path("at"), Double.NaN) * 1000;
        if (!(at >= 0)) {
            throw new IllegalArgumentException("fault.at must be 0 or more seconds but is " + one.path("at"));
        }
        Fault.What what = Fault.What.parse(one.path("do").asText(""));
        double lasts = TomlFile.number("fault.for", one.path("for"), Double.POSITIVE_INFINITY) * 1000;
        if (!(lasts > 0) || what.mustEnd() && Double.isInfinite(lasts)) {
            throw new IllegalArgumentException("fault.for must be above 0 seconds"
                    + (what.mustEnd() ? ", and be there for " + what.word() : "") + ", but is "
                    + one.path("for"));
        }
        boolean links = what.aim() == Fault.Aim.LINKS;
        for (String field : links
                ? List.of("who", "share", "jar")
                : List.of(
                        "from",
                        "to",
                        "cut",
                        "direction",
                        "delay-ms",
                        "jitter-ms",
                        "loss",
                        "duplicate",
                        "reorder",
                        "rate",
                        "half")) {
            if (one.has(field)) {
                throw new IllegalArgumentException(
                        "fault." + field + " says nothing to " + what.word() + " but is " + one.path(field));
            }
        }
        if (one.has("moves") && what != Fault.What.RELOAD) {
            throw new IllegalArgumentException(
                    "fault.moves says nothing to " + what.word() + " but is " + one.path("moves"));
        }
        double share = TomlFile.number("fault.share", one.path("share"), 0.1);
        if (!(share > 0 && share < 1)) {
            throw new IllegalArgumentException("fault.share must be between 0 and 1 but is " + share);
        }
        if (!links) {
            Selector who = what.aim() == Fault.Aim.DISCOVERY && !one.has("who")
                    ? new Selector(Selector.Group.DISCOVERY, -1, "", 1)
                    : Selector.parse("fault.who", one.path("who").asText(""), sizes);
            Selector.Group wanted =
                    switch (what.aim()) {
                        case SIDECARS -> Selector.Group.SIDECAR;
                        case ENDPOINTS -> Selector.Group.ENDPOINT;
                        default -> Selector.Group.DISCOVERY;
                    };
            if (who.group() != wanted) {
                throw new IllegalArgumentException(
                        "fault.who must be of " + wanted.name().toLowerCase(Locale.ROOT) + "s for " + what.word()
                                + " but is " + one.path("who"));
            }
            return new Fault(
                    number,
                    at,
                    lasts,
                    what,
                    who.resolve(sizes, random),
                    List.of(),
                    Conduct.CLEAR,
                    Conduct.CLEAR,
                    share,
                    one.path("jar").asText(""),
                    one.path("moves").asBoolean(false));
        }
        Selector from = Selector.parse("fault.from", one.path("from").asText(""), sizes);
        Selector to = Selector.parse("fault.to", one.path("to").asText(""), sizes);
        if (!isLink(from.group(), to.group())) {
            throw new IllegalArgumentException("fault.to must be at the other end of a link from " + from
                    + " (clients to sidecars; sidecars to endpoints, discovery or sidecars) but is "
                    + one.path("to"));
        }
        Conduct conduct = conduct(one);
        String direction = one.path("direction").asText("both");
        if (!List.of("both", "onwards", "backwards").contains(direction)) {
            throw new IllegalArgumentException(
                    "fault.direction must be both, onwards or backwards but is \"" + direction + "\"");
        }
        return new Fault(
                number,
                at,
                lasts,
                what,
                from.resolve(sizes, random),
                to.resolve(sizes, random),
                direction.equals("backwards") ? Conduct.CLEAR : conduct,
                direction.equals("onwards") ? Conduct.CLEAR : conduct,
                share,
                "",
                false);
    }

    private static boolean isLink(Selector.Group from, Selector.Group to) {
        return from == Selector.Group.CLIENTS && to == Selector.Group.SIDECAR
                || from == Selector.Group.SIDECAR && to != Selector.Group.CLIENTS;
    }

    private static Conduct conduct(JsonNode one) {
        try {
            return new Conduct(
                    TomlFile.number("fault.delay-ms", one.path("delay-ms"), 0),
                    TomlFile.number("fault.jitter-ms", one.path("jitter-ms"), 0),
                    TomlFile.number("fault.loss", one.path("loss"), 0),
                    TomlFile.number("fault.duplicate", one.path("duplicate"), 0),
                    TomlFile.number("fault.reorder", one.path("reorder"), 0),
                    TomlFile.number("fault.rate", one.path("rate"), Double.POSITIVE_INFINITY),
                    TomlFile.number("fault.half", one.path("half"), 0),
                    one.path("cut").asBoolean(false));
        } catch (IllegalArgumentException e) {
            throw e.getMessage().startsWith("fault.") ? e : new IllegalArgumentException("fault." + e.getMessage(), e);
        }
    }

    private static Hold hold(JsonNode hold) {
        TomlFile.knownOnly("hold.", hold, HOLD);
        return new Hold(
                TomlFile.number("hold.recovery-seconds", hold.path("recovery-seconds"), Double.POSITIVE_INFINITY),
                TomlFile.number("hold.amplification", hold.path("amplification"), Double.POSITIVE_INFINITY),
                TomlFile.number("hold.served", hold.path("served"), 0),
                TomlFile.number("hold.list-refusals", hold.path("list-refusals"), Double.POSITIVE_INFINITY));
    }
}
