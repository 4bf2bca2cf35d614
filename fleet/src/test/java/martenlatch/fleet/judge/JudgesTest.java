package martenlatch.fleet.judge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import martenlatch.fleet.history.Event;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.scenario.Scenario;
import org.junit.jupiter.api.Test;

/**
 * Judges before histories with a planted violation each: it is found by its id, and what only looks like
 * one is not.
 */
class JudgesTest {

    private static final String FILE = """
        seconds = 10
        [fleet]
        sidecars = 2
        endpoints = 2
        [[class]]
        name = "book"
        effect = "unsafe"
        [endpoint]
        service = "constant 10"
        slots = 1
        cold-ms = 3000
        cold-factor = 4
        """;

    private final List<Event> events = new ArrayList<>();

    private JudgesTest at(double ms, What what, String who, String whom, String id, String detail) {
        events.add(new Event(ms, what, who, whom, id, detail));
        return this;
    }

    private JudgesTest asked(double ms, String id) {
        return at(ms, What.ASKED, "clients", "n0", id, "book UNSAFE 1000");
    }

    private JudgesTest ended(double ms, String id, String how) {
        return at(ms, What.ENDED, "clients", "n0", id, how);
    }

    private JudgesTest ran(double ms, String id, String endpoint) {
        return at(ms, What.SENT, "n0", endpoint, id, "").at(ms + 1, What.RAN, endpoint, "", id, "");
    }

    private Verdict verdict(String faults) {
        try {
            return Verdict.of(new RunRecord(Scenario.of(new TomlMapper().readTree(FILE + faults)), events, 0));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void assertFound(String judge, String id) {
        Verdict verdict = verdict("");
        assertEquals(
                List.of(judge + " " + id),
                verdict.findings().stream().map(f -> f.judge() + " " + f.id()).toList());
        assertEquals(Verdict.Outcome.BROKEN, verdict.outcome());
    }

    private void assertClean(String faults) {
        Verdict verdict = verdict(faults);
        assertEquals(List.of(), verdict.findings());
        assertEquals(Verdict.Outcome.HELD, verdict.outcome(), verdict.spoilt().toString());
    }

    @Test
    void aRequestThatGetsNoAnswerIsLost() {
        asked(100, "r1").ran(110, "r1", "s0").ended(1350, "r1", "TIMED_OUT");
        asked(100, "r2").ran(110, "r2", "s0").ended(200, "r2", "SERVED");
        assertFound("lost", "r1");
    }

    @Test
    void whatADeadOrPausedSidecarHadIsNotLostByIt() {
        at(500, What.PROCESS, "n0", "", "", "paused").at(3500, What.PROCESS, "n0", "", "", "resumed");
        asked(100, "r1").ran(110, "r1", "s0").ended(1350, "r1", "TIMED_OUT");
        asked(3400, "r2").ended(4650, "r2", "TIMED_OUT");
        assertClean("");
        // Asked well after it went on: that is its own.
        asked(3700, "r3").ended(4950, "r3", "TIMED_OUT");
        assertFound("lost", "r3");
    }

    @Test
    void whatALinkSpoilsIsNotTheSidecars() {
        asked(1100, "r1").ended(1200, "r1", "FAILED reset");
        assertClean(
                "[[fault]]\nat = 1\nfor = 1\ndo = \"link\"\nfrom = \"clients\"\n" + "to = \"sidecar 0\"\nhalf = 0.5\n");
        assertFound("lost", "r1");
    }

    /** A close between two requests crosses one that was not read; one that was sent on is lost. */
    @Test
    void aCloseDuringADrainCrossesWhatWasNotRead() {
        at(100, What.PROCESS, "n0", "", "", "told to end").at(3000, What.PROCESS, "n0", "", "", "ended 0");
        asked(2700, "r1").ended(2701, "r1", "FAILED closed");
        assertClean("");
        asked(2000, "r2").ran(2010, "r2", "s1").ended(2900, "r2", "FAILED closed");
        assertFound("lost", "r2");
    }

    @Test
    void anUnsafeRequestThatRunsTwiceIsNamed() {
        asked(100, "r1").ran(110, "r1", "s0").ran(150, "r1", "s1").ended(200, "r1", "SERVED");
        assertFound("twice", "r1");
    }

    @Test
    void anUnsafeRequestThatRanIsNotRefused() {
        asked(100, "r1").ran(110, "r1", "s0").ended(200, "r1", "REFUSED refused 503");
        assertFound("twice", "r1");
    }

    /** Told and sent count at the sidecar's end: what its link then delays is not its own. */
    @Test
    void whatIsSentAfterADrainWasToldIsNamed() {
        at(100, What.TOLD, "n0", "s0", "", "terminating");
        asked(400, "r1")
                .at(600, What.SENT, "n0", "s0", "r1", "")
                .at(2000, What.RAN, "s0", "", "r1", "")
                .ended(2100, "r1", "FAILED status 502");
        assertClean("");
        asked(500, "r2").ran(700, "r2", "s0").ended(800, "r2", "SERVED");
        asked(500, "r3").ran(700, "r3", "s1").ended(800, "r3", "SERVED");
        assertFound("drain", "r2");
    }

    /** What a process was told is not known to the next one, which starts from a list of its own. */
    @Test
    void aRestartForgetsWhatWasTold() {
        at(100, What.TOLD, "n0", "s0", "", "terminating")
                .at(200, What.PROCESS, "n0", "", "", "killed")
                .at(1200, What.PROCESS, "n0", "", "", "serves");
        asked(1500, "r1").ran(1510, "r1", "s0").ended(1600, "r1", "SERVED");
        assertClean("");
    }

    @Test
    void aDrainThatASidecarCouldNotHearCountsLater() {
        at(100, What.TOLD, "n0", "s0", "", "terminating");
        asked(500, "r1").ran(2500, "r1", "s0").ended(2600, "r1", "SERVED");
        String cut = "[[fault]]\nat = 0\nfor = 2\ndo = \"link\"\nfrom = \"sidecar 0\"\n"
                + "to = \"discovery\"\ncut = true\n";
        assertClean(cut);
        asked(500, "r2").ran(2600, "r2", "s0").ended(2700, "r2", "SERVED");
        assertEquals(
                List.of("r2"), verdict(cut).findings().stream().map(Finding::id).toList());
    }

    /** Warm it does 100 a second, cold 25: three times that for 1.5 s, and what chance adds, are 144. */
    @Test
    void aColdEndpointThatAllSidecarsFloodIsNamed() {
        at(1000, What.ENDPOINT_UP, "s0", "", "", "3000.0");
        for (int i = 0; i < 144; i++) {
            asked(1000 + i, "r" + i).ran(1000 + i, "r" + i, "s0").ended(2000, "r" + i, "SERVED");
        }
        assertClean("");
        asked(1200, "last").ran(1200, "last", "s0").ended(2000, "last", "SERVED");
        assertEquals("cold", verdict("").findings().get(0).judge());
    }

    @Test
    void aProcessThatEndsUnaskedIsNamed() {
        at(1000, What.PROCESS, "n1", "", "", "died 134");
        assertEquals("n1 ended with status 134", verdict("").findings().get(0).what());
    }

    /** Where the rig was at fault the run says nothing, whatever was found in it. */
    @Test
    void aSpoiltRunIsVoid() {
        asked(100, "r1").ran(110, "r1", "s0").ended(1350, "r1", "TIMED_OUT");
        at(300, What.RIG, "beat", "", "", "120.0");
        assertEquals(Verdict.Outcome.BROKEN, verdict("").outcome(), "a little late is no excuse");
        at(300, What.RIG, "beat", "", "", "400.0");
        assertEquals(Verdict.Outcome.VOID, verdict("").outcome());
    }

    @Test
    void aHistoryWithAGapIsVoid() {
        ran(100, "r1", "s0");
        assertTrue(verdict("").spoilt().get(0).what().contains("no client has sent this request"));
        events.clear();
        asked(100, "r2").at(120, What.RAN, "s0", "", "r2", "").ended(130, "r2", "SERVED");
        assertTrue(verdict("").spoilt().get(0).what().contains("went over no link"));
        events.clear();
        at(100, What.RIG, "faults", "", "", "failed n0 was not paused");
        assertEquals(Verdict.Outcome.VOID, verdict("").outcome());
    }

    /** Guards against a sidecar that keeps its list because it never asks. */
    @Test
    void whoDoesNotAskCountsAsTold() {
        String often = "[discovery]\nask-within-ms = 2000\n";
        at(-5, What.PROCESS, "n0", "", "", "serves").at(1000, What.CHANGED, "discovery", "s0", "", "terminating");
        asked(3400, "r1").ran(3410, "r1", "s0").ended(3450, "r1", "SERVED");
        assertClean(often);
        asked(3550, "r2").ran(3560, "r2", "s0").ended(3570, "r2", "SERVED");
        assertEquals(
                List.of("drain r2"),
                verdict(often).findings().stream()
                        .map(f -> f.judge() + " " + f.id())
                        .toList());
        assertClean("");
        // While discovery says nothing there is nothing to hear, and then four times as long is allowed.
        assertClean(often + "[[fault]]\nat = 2\nfor = 0.5\ndo = \"silent\"\n");
    }

    /** A process that starts from an old list has no more time for a change than others: 6 s from the change. */
    @Test
    void whoeverStartsAfterAChangeCountsAsToldSixSecondsAfterIt() {
        at(1000, What.CHANGED, "discovery", "s0", "", "terminating")
                .at(1100, What.PROCESS, "n0", "", "", "killed")
                .at(5000, What.PROCESS, "n0", "", "", "serves");
        asked(7500, "r1").ran(7540, "r1", "s0").ended(7545, "r1", "SERVED");
        assertClean("");
        asked(7545, "r2").ran(7560, "r2", "s0").ended(7570, "r2", "SERVED");
        assertFound("drain", "r2");
        assertClean("[[fault]]\nat = 2\nfor = 0.5\ndo = \"down\"\n");
    }

    /** What a lossy link has swallowed is sent again long after the loss is over (plan 41 of calm). */
    @Test
    void whatALossyLinkHeldBackIsToldLater() {
        String fault = "[[fault]]\nat = 1\nfor = 1\ndo = \"link\"\nfrom = \"sidecar 0\"\n" + "to = \"discovery\"\n";
        at(1500, What.TOLD, "n0", "s0", "", "terminating");
        asked(3000, "r1").ran(3010, "r1", "s0").ended(3050, "r1", "SERVED");
        assertClean(fault + "loss = 0.4\n");
        assertEquals(1, verdict(fault + "delay-ms = 100\n").findings().size());
        asked(8100, "r2").ran(8110, "r2", "s0").ended(8150, "r2", "SERVED");
        assertEquals("r2", verdict(fault + "loss = 0.4\n").findings().get(0).id());
    }

    /** A long poll that discovery was silent on may notice that when its wait is over: 2 s later at the latest. */
    @Test
    void whatASilentLongPollMissedCountsAsToldTwoSecondsAfterItsWait() {
        String silence = "[[fault]]\nat = 2\nfor = 1\ndo = \"silent\"\n";
        at(1000, What.LONG_POLL, "n0", "discovery", "", "10000")
                .at(2500, What.CHANGED, "discovery", "s0", "", "terminating");
        asked(13_400, "r1").ran(13_410, "r1", "s0").ended(13_420, "r1", "SERVED");
        assertClean(silence);
        assertFound("drain", "r1");
        asked(13_600, "r2").ran(13_610, "r2", "s0").ended(13_620, "r2", "SERVED");
        assertEquals("r2", verdict(silence).findings().get(0).id());
    }
}
