package martenlatch.fleet.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.util.List;
import martenlatch.fleet.explore.RandomFaults;
import martenlatch.fleet.history.History;
import martenlatch.fleet.judge.Finding;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;
import martenlatch.fleet.scenario.Scenario;
import org.junit.jupiter.api.Test;

/** Runs production sidecar code in simulated time, under faults. */
class SimRunTest {

    private static final String FLEET = """
        seed = 5
        seconds = 10
        [fleet]
        sidecars = 12
        endpoints = 20
        zones = ["north", "east"]
        [load]
        rate = 300
        [[class]]
        name = "look-up"
        share = 3
        effect = "repeatable"
        deadline-ms = 1500
        retries = 1
        [[class]]
        name = "book"
        effect = "unsafe"
        aim-ms = 5500
        deadline-ms = 6000
        """;

    private static Scenario scenario(String faults) {
        try {
            return Scenario.of(new TomlMapper().readTree(FLEET + faults));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Verdict judged(Scenario scenario, History history) {
        return Verdict.of(new RunRecord(scenario, history.events(), history.missing()));
    }

    /** The same plan and seed give the same history, event for event; another seed gives another history. */
    @Test
    void sameSeedReproducesHistory() {
        Scenario plan = RandomFaults.in(scenario(""), 3, 8);
        String first = new SimRun(plan).play(at -> {}).digest();
        assertEquals(first, new SimRun(plan).play(at -> {}).digest());
        assertNotEquals(
                first,
                new SimRun(RandomFaults.in(scenario(""), 4, 8)).play(at -> {}).digest());
    }

    /** All judges pass under random faults, and no request stays open at the end. */
    @Test
    void rulesHoldUnderRandomFaults() {
        for (int seed = 1; seed <= 40; seed++) {
            Scenario plan = RandomFaults.in(scenario(""), seed, 6);
            SimRun run = new SimRun(plan);
            Verdict verdict = judged(plan, run.play(at -> {}));
            assertEquals(List.of(), verdict.findings(), "plan " + seed);
            assertEquals(List.of(), verdict.spoilt(), "plan " + seed);
            assertEquals(0, run.openRequests(), "plan " + seed);
        }
    }

    /**
     * Guards against a simulation that detects nothing: on a link that duplicates writes, unsafe requests run twice.
     */
    @Test
    void duplicatingLinkIsDetected() {
        Scenario plan = scenario("""
            [[fault]]
            at = 2
            for = 2
            do = "link"
            from = "sidecar 0"
            to = "endpoints"
            duplicate = 0.5
            direction = "onwards"
            """);
        List<Finding> found = judged(plan, new SimRun(plan).play(at -> {})).findings();
        assertFalse(found.isEmpty());
        assertTrue(found.stream().allMatch(one -> one.judge().equals("twice")), found.toString());
    }

    /** Requests that are pending at SIGTERM, with deadlines after the end of the process, are still answered. */
    @Test
    void restartWithHungEndpointsLosesNoRequest() {
        Scenario plan = scenario("""
            [[fault]]
            at = 1
            for = 6
            do = "hang"
            who = "endpoints"
            [[fault]]
            at = 2
            do = "restart"
            who = "sidecars"
            """);
        assertEquals(List.of(), judged(plan, new SimRun(plan).play(at -> {})).findings());
    }
}
