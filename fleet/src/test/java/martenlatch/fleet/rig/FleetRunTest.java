package martenlatch.fleet.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.judge.Finding;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;
import martenlatch.fleet.launch.DeployFile;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.fleet.scenario.Scenario;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs real processes of the built jar, with faults between them. */
@Timeout(value = 180, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class FleetRunTest {

    /** A run that was void because of the machine is repeated, up to this many times. */
    private static final int TRIES = 3;

    private static final String SMALL = """
        seconds = %s
        [fleet]
        sidecars = 3
        endpoints = 4
        zones = ["north", "east"]
        [load]
        rate = 60
        [[class]]
        name = "look-up"
        effect = "repeatable"
        deadline-ms = 1500
        [[class]]
        name = "book"
        effect = "unsafe"
        deadline-ms = 3000
        """;

    @TempDir
    Path folder;

    private interface Plant {
        void in(FleetRun run);
    }

    private RunRecord record;

    private Verdict play(Scenario scenario, Plant plant) throws Exception {
        return play(scenario, TRIES, plant);
    }

    private Verdict play(Scenario scenario, int tries, Plant plant) throws Exception {
        Verdict verdict = null;
        for (int i = 0; i < tries && (verdict == null || verdict.outcome() == Verdict.Outcome.VOID); i++) {
            try (FleetRun run = new FleetRun(
                    scenario, DeployFile.read(Path.of("..").toAbsolutePath().normalize()), folder)) {
                plant.in(run);
                run.play(second -> {});
                record = new RunRecord(
                        scenario, run.history().events(), run.history().missing());
                verdict = Verdict.of(record);
            }
        }
        return verdict;
    }

    private static Scenario small(String seconds, String faults) throws IOException {
        JsonNode tree = new TomlMapper().readTree(SMALL.formatted(seconds) + faults);
        return Scenario.of(tree);
    }

    private List<String> judges(Verdict verdict) {
        return verdict.findings().stream()
                .map(Finding::judge)
                .distinct()
                .sorted()
                .toList();
    }

    /**
     * Guards against a rig that detects nothing: an unsafe request that a relay duplicates is reported by its id.
     */
    @Test
    void duplicatingRelayIsDetected() throws Exception {
        Verdict verdict = play(small("3", """
            [[fault]]
            at = 0.5
            for = 1.5
            do = "link"
            from = "sidecar 0"
            to = "endpoints"
            duplicate = 0.5
            direction = "onwards"
            """), run -> {});
        List<Finding> twice = verdict.findings().stream()
                .filter(f -> f.judge().equals("twice"))
                .toList();
        assertFalse(twice.isEmpty(), verdict.toString());
        List<String> ranTwice = record.all(What.RAN).stream()
                .collect(Collectors.groupingBy(Event::id, Collectors.counting()))
                .entrySet()
                .stream()
                .filter(e -> e.getValue() > 1)
                .map(e -> e.getKey())
                .toList();
        assertTrue(ranTwice.containsAll(twice.stream().map(Finding::id).toList()), ranTwice.toString());
    }

    /** Guards against a rig that detects nothing: responses that a relay loses outside the plan are lost requests. */
    @Test
    void relayThatLosesResponsesIsDetected() throws Exception {
        Verdict verdict = play(
                small("3", ""),
                run -> run.clientLink(1)
                        .setConditions(
                                LinkConditions.CLEAR,
                                new LinkConditions(60_000, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false)));
        assertTrue(judges(verdict).contains("lost"), verdict.toString());
        assertTrue(
                verdict.findings().stream()
                        .filter(f -> f.judge().equals("lost"))
                        .allMatch(f -> f.what().startsWith("n1 ")),
                verdict.toString());
    }

    /** Guards against a verdict, good or bad, on a run whose planned fault did not take place. */
    @Test
    void failedPauseMakesRunVoid() throws Exception {
        Verdict verdict = play(
                small("3", """
            [[fault]]
            at = 0.5
            for = 1.5
            do = "pause"
            who = "sidecar 0"
            """),
                1,
                run -> new Thread(() -> {
                            while (run.history().events().stream()
                                    .noneMatch(e -> e.detail().equals("paused"))) {
                                Thread.yield();
                            }
                            run.sidecar(0).resume();
                        })
                        .start());
        assertEquals(Verdict.Outcome.VOID, verdict.outcome());
        assertTrue(
                verdict.spoilt().stream()
                        .anyMatch(one -> one.what().equals("failed n0 did not stand still for as long as it should")),
                verdict.spoilt().toString());
    }

    /** A relay whose thread is blocked forwards data later than its link conditions ask for. */
    @Test
    void lateRelayMakesRunVoid() throws Exception {
        Verdict verdict = play(small("3", """
            [[fault]]
            at = 0.2
            for = 2.5
            do = "link"
            from = "sidecars"
            to = "endpoints"
            delay-ms = 20
            """), 1, run -> run.stallLinks(1000, 600));
        assertEquals(Verdict.Outcome.VOID, verdict.outcome());
        assertTrue(
                verdict.spoilt().stream().anyMatch(one -> one.what().startsWith("link was ")),
                verdict.spoilt().toString());
    }

    /** Over UDP, a death is detected by all, a resumed member suspects nobody, and a cut between two is not a death. */
    @Test
    void sidecarsDetectDeaths() throws Exception {
        Scenario plan = Scenario.of(new TomlMapper()
                .readTree(SMALL.replace("sidecars = 3", "sidecars = 5\npeers = true")
                                .formatted("16") + """
            [[fault]]
            at = 1
            for = 14
            do = "link"
            from = "sidecar 0"
            to = "sidecar 2"
            cut = true
            [[fault]]
            at = 1
            for = 2
            do = "pause"
            who = "sidecar 1"
            [[fault]]
            at = 5
            for = 6
            do = "kill"
            who = "sidecar 4"
            """));
        Verdict verdict = play(plan, run -> {});
        assertEquals(List.of(), verdict.findings(), verdict.toString());
        List<String> told = record.all(What.LOG).stream()
                .filter(e -> e.detail().contains(": peer "))
                .map(e -> e.who() + e.detail().substring(e.detail().indexOf(": peer ")))
                .toList();
        for (int i = 0; i < 4; i++) {
            assertTrue(told.contains("n" + i + ": peer 4: SUSPECT -> FAULTY"), told.toString());
            assertTrue(told.contains("n" + i + ": peer 4: FAULTY -> ALIVE"), told.toString());
        }
        // State changes that are logged after the load come from the shutdown of all sidecars.
        assertTrue(
                told.stream().filter(line -> line.endsWith("FAULTY")).allMatch(line -> line.contains("peer 4:")),
                told.toString());
    }

    /** A member that only sends, and the other half of a split, are not declared faulty. */
    @Test
    void oneWayCutsAndSplitsAreNotDeaths() throws Exception {
        Scenario plan = Scenario.of(new TomlMapper()
                .readTree(SMALL.replace("sidecars = 3", "sidecars = 6\npeers = true")
                                .formatted("20") + """
            [[fault]]
            at = 2
            for = 7
            do = "link"
            from = "sidecars"
            to = "sidecar 2"
            cut = true
            direction = "onwards"
            [[fault]]
            at = 12
            for = 7
            do = "link"
            from = "sidecars zone north"
            to = "sidecars zone east"
            cut = true
            """));
        Verdict verdict = play(plan, run -> {});
        assertEquals(List.of(), verdict.findings(), verdict.toString());
        assertEquals(
                List.of(),
                record.all(What.LOG).stream()
                        .map(e -> e.who() + " " + e.detail())
                        .filter(line -> line.contains(": peer ") && line.endsWith("FAULTY"))
                        .toList());
    }

    /** Requests in transit on a slow link when a drain is announced are not a violation by the sidecar. */
    @Test
    void drainBehindSlowLinkIsNoViolation() throws Exception {
        Verdict verdict = play(small("5", """
            [[fault]]
            at = 0.5
            for = 4
            do = "link"
            from = "sidecars"
            to = "endpoints"
            delay-ms = 700
            direction = "onwards"
            [[fault]]
            at = 1.5
            do = "drain"
            who = "endpoint 1"
            """), run -> {});
        assertEquals(List.of(), verdict.findings(), verdict.toString());
        assertFalse(record.all(What.TOLD).isEmpty());
    }

    /**
     * Incident 7111: processes start from a list that is older than a drain, while discovery can be reached all the
     * time. The drain counts as notified 6 s after it was announced, one second after these processes begin.
     */
    @Test
    void processesStartingFromOldListLearnOfDrainInTime() throws Exception {
        Verdict verdict = play(
                Scenario.of(new TomlMapper()
                        .readTree(SMALL.replace("sidecars = 3", "sidecars = 8").formatted("13") + """
            [discovery]
            known = "first"
            [[fault]]
            at = 0.5
            for = 5.5
            do = "kill"
            who = "sidecars"
            [[fault]]
            at = 1
            do = "drain"
            who = "endpoint 1"
            """)),
                run -> {});
        assertEquals(List.of(), verdict.findings(), verdict.toString());
    }

    /**
     * Several moves of discovery in a row: the delays of polls by each move must not add up to more than the time for
     * which a change may stay unknown.
     */
    @Test
    void repeatedlyMovedSidecarsLearnOfDrainInTime() throws Exception {
        StringBuilder moves = new StringBuilder();
        for (int move = 0; move < 12; move++) {
            moves.append("[[fault]]\nat = ").append(1 + move * 0.7).append("\ndo = \"reload\"\nmoves = true\n");
            moves.append("who = \"sidecars\"\n");
            if (move == 0) {
                moves.append("[[fault]]\nat = 1.1\ndo = \"drain\"\nwho = \"endpoint 1\"\n");
            }
        }
        Verdict verdict = play(
                Scenario.of(new TomlMapper()
                        .readTree(SMALL.replace("sidecars = 3", "sidecars = 12").formatted("10") + moves)),
                run -> {});
        assertEquals(List.of(), verdict.findings(), verdict.toString());
    }

    /** Requests that are pending at SIGTERM are answered before the process ends, whatever endpoints do. */
    @Test
    void restartWithHungEndpointsLosesNoRequest() throws Exception {
        Verdict verdict = play(small("9", """
            [[class]]
            name = "long"
            effect = "unsafe"
            aim-ms = 5500
            deadline-ms = 6000
            [[fault]]
            at = 1
            for = 5
            do = "hang"
            who = "endpoints"
            [[fault]]
            at = 2
            do = "restart"
            who = "sidecars"
            """), run -> {});
        assertEquals(List.of(), verdict.findings(), verdict.toString());
    }
}
