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
import martenlatch.fleet.link.LinkConditions;
import martenlatch.load.LoadClass;
import martenlatch.toml.TomlFile;
import martenlatch.world.ServiceTime;
import martenlatch.world.WorldSettings;

/**
 * The description of a run, read from a TOML file.
 *
 * @param seconds how long the load lasts
 * @param world the endpoints and their properties
 * @param discovery how discovery serves calls
 * @param faults ordered by time, with the parts that they affect, which depend on the seed
 * @param passCriteria what the run must achieve
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
        PassCriteria passCriteria) {

    private static final Set<String> TOP_LEVEL_KEYS = Set.of(
            "name", "about", "seed", "seconds", "fleet", "load", "class", "endpoint", "discovery", "fault", "hold");
    private static final Set<String> DISCOVERY_KEYS =
            Set.of("call-ms", "rejection-ms", "most-wait-ms", "response-ms", "ask-within-ms", "known");
    private static final Set<String> FLEET_KEYS = Set.of("sidecars", "endpoints", "zones", "peers");
    private static final Set<String> LOAD_KEYS = Set.of("rate", "skew", "notice-ms");
    private static final Set<String> CLASS_KEYS =
            Set.of("name", "share", "effect", "body-bytes", "aim-ms", "deadline-ms", "retries", "worth");
    private static final Set<String> ENDPOINT_KEYS = Set.of("service", "slots", "queue", "cold-ms", "cold-factor");
    private static final Set<String> FAULT_KEYS = Set.of(
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
    private static final Set<String> HOLD_KEYS = Set.of("recovery-seconds", "amplification", "served", "list-refusals");
    private static final double DRAIN_GRACE_MS = 500;
    private static final int MAX_IDS = 5_000_000;
    private static final double MAX_SECONDS = 3600;

    public Scenario {
        faults = List.copyOf(faults);
        if (!(seconds >= 1 && seconds <= MAX_SECONDS)) {
            throw new IllegalArgumentException("seconds must be 1 to 3600 but is " + seconds);
        }
    }

    /** Reads a file. Throws an exception that names the field and the value if the file is invalid. */
    public static Scenario read(Path file) throws IOException {
        return of(TomlFile.read(file));
    }

    /**
     * Returns a separate seed for each purpose. Generators with the same seed would draw the same numbers, so that one
     * sidecar would get all requests of a class.
     */
    public long seedFor(Object purpose) {
        return new SplittableRandom(seed * 1_000_003 + purpose.hashCode()).nextLong();
    }

    /** Returns the same scenario with other faults. */
    public Scenario with(List<Fault> others) {
        return new Scenario(name, about, seed, seconds, sizes, load, world, discovery, others, passCriteria);
    }

    /** Creates a scenario from a parsed file. */
    public static Scenario of(JsonNode file) {
        TomlFile.knownOnly("", file, TOP_LEVEL_KEYS);
        JsonNode fleet = file.path("fleet");
        TomlFile.knownOnly("fleet.", fleet, FLEET_KEYS);
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
                passCriteria(file.path("hold")));
    }

    private static Load load(JsonNode file) {
        JsonNode load = file.path("load");
        TomlFile.knownOnly("load.", load, LOAD_KEYS);
        List<Load.ClassSettings> classes = new ArrayList<>();
        for (JsonNode node : file.path("class")) {
            TomlFile.knownOnly("class.", node, CLASS_KEYS);
            int deadline = TomlFile.whole("class.deadline-ms", node.path("deadline-ms"), 1000);
            try {
                LoadClass kind = new LoadClass(
                        node.path("name").asText(""),
                        TomlFile.number("class.share", node.path("share"), 1),
                        LoadClass.Effect.parse(node.path("effect").asText("")),
                        TomlFile.whole("class.body-bytes", node.path("body-bytes"), 0),
                        deadline,
                        TomlFile.whole("class.retries", node.path("retries"), 0));
                classes.add(new Load.ClassSettings(
                        kind,
                        TomlFile.number("class.aim-ms", node.path("aim-ms"), deadline / 2.0),
                        TomlFile.number("class.worth", node.path("worth"), 1)));
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

    private static WorldSettings world(JsonNode node, Sizes sizes, long seed) {
        TomlFile.knownOnly("endpoint.", node, ENDPOINT_KEYS);
        return new WorldSettings(
                sizes.endpoints(),
                sizes.zones(),
                ServiceTime.parse(node.path("service").asText("lognormal 8 0.5")),
                TomlFile.whole("endpoint.slots", node.path("slots"), 16),
                TomlFile.whole("endpoint.queue", node.path("queue"), 32),
                TomlFile.number("endpoint.cold-ms", node.path("cold-ms"), 1500),
                TomlFile.number("endpoint.cold-factor", node.path("cold-factor"), 4),
                DRAIN_GRACE_MS,
                1,
                MAX_IDS,
                seed);
    }

    private static ListService discovery(JsonNode node) {
        TomlFile.knownOnly("discovery.", node, DISCOVERY_KEYS);
        return new ListService(
                TomlFile.number("discovery.call-ms", node.path("call-ms"), 0),
                TomlFile.number("discovery.rejection-ms", node.path("rejection-ms"), 0),
                TomlFile.number("discovery.most-wait-ms", node.path("most-wait-ms"), 1000),
                TomlFile.number("discovery.response-ms", node.path("response-ms"), 0),
                TomlFile.number("discovery.ask-within-ms", node.path("ask-within-ms"), 10_000),
                ListService.KnownList.parse(node.path("known").asText("current")));
    }

    private static List<Fault> faults(JsonNode list, Sizes sizes, long seed, double seconds) {
        Random random = new Random(seed);
        List<Fault> faults = new ArrayList<>();
        double previousAtMs = 0;
        for (JsonNode node : list) {
            TomlFile.knownOnly("fault.", node, FAULT_KEYS);
            Fault fault = fault(node, faults.size(), sizes, random);
            if (fault.atMs() < previousAtMs) {
                throw new IllegalArgumentException("fault.at must not be earlier than that of the previous fault ("
                        + previousAtMs / 1000 + ") but is " + fault.atMs() / 1000);
            }
            if (!(fault.atMs() <= seconds * 1000)) {
                throw new IllegalArgumentException(
                        "fault.at must be within the run's " + seconds + " seconds but is " + node.path("at"));
            }
            previousAtMs = fault.atMs();
            faults.add(fault);
        }
        faults.sort(Comparator.comparingDouble(Fault::atMs));
        return faults;
    }

    private static Fault fault(JsonNode node, int number, Sizes sizes, Random random) {
        double atMs = TomlFile.number("fault.at", node.path("at"), Double.NaN) * 1000;
        if (!(atMs >= 0)) {
            throw new IllegalArgumentException("fault.at must be 0 or more seconds but is " + node.path("at"));
        }
        Fault.What what = Fault.What.parse(node.path("do").asText(""));
        double durationMs = TomlFile.number("fault.for", node.path("for"), Double.POSITIVE_INFINITY) * 1000;
        if (!(durationMs > 0) || what.mustEnd() && Double.isInfinite(durationMs)) {
            throw new IllegalArgumentException("fault.for must be above 0 seconds"
                    + (what.mustEnd() ? " and is required for " + what.word() : "") + ", but is "
                    + node.path("for"));
        }
        boolean isLinkFault = what.aim() == Fault.Aim.LINKS;
        for (String field : isLinkFault
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
            if (node.has(field)) {
                throw new IllegalArgumentException(
                        "fault." + field + " does not apply to " + what.word() + " but is " + node.path(field));
            }
        }
        if (node.has("moves") && what != Fault.What.RELOAD) {
            throw new IllegalArgumentException(
                    "fault.moves does not apply to " + what.word() + " but is " + node.path("moves"));
        }
        double share = TomlFile.number("fault.share", node.path("share"), 0.1);
        if (!(share > 0 && share < 1)) {
            throw new IllegalArgumentException("fault.share must be between 0 and 1 but is " + share);
        }
        if (!isLinkFault) {
            Selector who = what.aim() == Fault.Aim.DISCOVERY && !node.has("who")
                    ? new Selector(Selector.Group.DISCOVERY, -1, "", 1)
                    : Selector.parse("fault.who", node.path("who").asText(""), sizes);
            Selector.Group expectedGroup =
                    switch (what.aim()) {
                        case SIDECARS -> Selector.Group.SIDECAR;
                        case ENDPOINTS -> Selector.Group.ENDPOINT;
                        default -> Selector.Group.DISCOVERY;
                    };
            if (who.group() != expectedGroup) {
                throw new IllegalArgumentException(
                        "fault.who must be of " + expectedGroup.name().toLowerCase(Locale.ROOT) + "s for " + what.word()
                                + " but is " + node.path("who"));
            }
            return new Fault(
                    number,
                    atMs,
                    durationMs,
                    what,
                    who.resolve(sizes, random),
                    List.of(),
                    LinkConditions.CLEAR,
                    LinkConditions.CLEAR,
                    share,
                    node.path("jar").asText(""),
                    node.path("moves").asBoolean(false));
        }
        Selector from = Selector.parse("fault.from", node.path("from").asText(""), sizes);
        Selector to = Selector.parse("fault.to", node.path("to").asText(""), sizes);
        if (!isLink(from.group(), to.group())) {
            throw new IllegalArgumentException("fault.to must be at the other end of a link from " + from
                    + " (clients to sidecars; sidecars to endpoints, discovery or sidecars) but is "
                    + node.path("to"));
        }
        LinkConditions conditions = conditions(node);
        String direction = node.path("direction").asText("both");
        if (!List.of("both", "onwards", "backwards").contains(direction)) {
            throw new IllegalArgumentException(
                    "fault.direction must be both, onwards or backwards but is \"" + direction + "\"");
        }
        return new Fault(
                number,
                atMs,
                durationMs,
                what,
                from.resolve(sizes, random),
                to.resolve(sizes, random),
                direction.equals("backwards") ? LinkConditions.CLEAR : conditions,
                direction.equals("onwards") ? LinkConditions.CLEAR : conditions,
                share,
                "",
                false);
    }

    private static boolean isLink(Selector.Group from, Selector.Group to) {
        return from == Selector.Group.CLIENTS && to == Selector.Group.SIDECAR
                || from == Selector.Group.SIDECAR && to != Selector.Group.CLIENTS;
    }

    private static LinkConditions conditions(JsonNode node) {
        try {
            return new LinkConditions(
                    TomlFile.number("fault.delay-ms", node.path("delay-ms"), 0),
                    TomlFile.number("fault.jitter-ms", node.path("jitter-ms"), 0),
                    TomlFile.number("fault.loss", node.path("loss"), 0),
                    TomlFile.number("fault.duplicate", node.path("duplicate"), 0),
                    TomlFile.number("fault.reorder", node.path("reorder"), 0),
                    TomlFile.number("fault.rate", node.path("rate"), Double.POSITIVE_INFINITY),
                    TomlFile.number("fault.half", node.path("half"), 0),
                    node.path("cut").asBoolean(false));
        } catch (IllegalArgumentException e) {
            throw e.getMessage().startsWith("fault.") ? e : new IllegalArgumentException("fault." + e.getMessage(), e);
        }
    }

    private static PassCriteria passCriteria(JsonNode hold) {
        TomlFile.knownOnly("hold.", hold, HOLD_KEYS);
        return new PassCriteria(
                TomlFile.number("hold.recovery-seconds", hold.path("recovery-seconds"), Double.POSITIVE_INFINITY),
                TomlFile.number("hold.amplification", hold.path("amplification"), Double.POSITIVE_INFINITY),
                TomlFile.number("hold.served", hold.path("served"), 0),
                TomlFile.number("hold.list-refusals", hold.path("list-refusals"), Double.POSITIVE_INFINITY));
    }
}
