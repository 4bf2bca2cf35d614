package martenlatch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how sound bodies are told from those that have stopped or trickle. */
class BodyProgressTest {

    private static final double DEADLINE_MS = 5000;

    private final BodyProgress progress = new BodyProgress(0);
    private double nowMs;

    /** Receives parts at a fixed interval until the given time; returns whether the body ever counted as stopped. */
    private boolean stopsWhileReceiving(int partBytes, int pauseMs, double untilMs) {
        boolean stopped = false;
        while (nowMs + pauseMs <= untilMs) {
            nowMs += pauseMs;
            stopped |= nowMs > progress.stoppedAtMs(DEADLINE_MS);
            progress.onBytes(nowMs, partBytes);
        }
        return stopped;
    }

    /** Guards against cutting a body that goes on, steadily or in large parts. */
    @ParameterizedTest
    @CsvSource({"1000, 50", "3500, 50", "50000, 50", "4000, 200", "48000, 800"})
    void soundBodyDoesNotCountAsStopped(int partBytes, int pauseMs) {
        assertFalse(stopsWhileReceiving(partBytes, pauseMs, 2 * DEADLINE_MS));
        assertTrue(progress.isFlowing(nowMs));
        assertTrue(progress.mayGoOn(nowMs + pauseMs, DEADLINE_MS));
    }

    /** Guards against a body that never ends as single bytes of it keep arriving. */
    @ParameterizedTest
    @CsvSource({"1, 50", "1, 200", "20, 20", "100, 300"})
    void bodyThatTricklesCountsAsStopped(int partBytes, int pauseMs) {
        progress.onBytes(0, 70_000);
        assertTrue(stopsWhileReceiving(partBytes, pauseMs, 2000));
        assertFalse(progress.mayGoOn(nowMs, DEADLINE_MS));
    }

    /** Guards against a trickle that completes what a burst before it has left over. */
    @Test
    void trickleAfterAnUnevenBurstIsNoProgress() {
        progress.onBytes(0, 70_000);
        progress.onBytes(1, BodyProgress.PROGRESS_BYTES - 30);
        assertTrue(stopsWhileReceiving(1, 50, 4000));
        assertEquals(BodyProgress.MAX_PAUSE_MS, progress.stoppedAtMs(DEADLINE_MS));
    }

    @Test
    void bodyThatHasGoneOnBeyondItsDeadlineMayPauseForLonger() {
        stopsWhileReceiving(50_000, 50, DEADLINE_MS - 50);
        assertEquals(nowMs + BodyProgress.MAX_PAUSE_MS, progress.stoppedAtMs(DEADLINE_MS));
        stopsWhileReceiving(50_000, 50, DEADLINE_MS + 50);
        assertEquals(nowMs + BodyProgress.MAX_PAUSE_AFTER_DEADLINE_MS, progress.stoppedAtMs(DEADLINE_MS));
    }

    @Test
    void bodyMayPauseLongerThanItDidBefore() {
        stopsWhileReceiving(50_000, 900, 2000);
        assertEquals(nowMs + 1350, progress.stoppedAtMs(DEADLINE_MS));
    }

    /** Guards against taking a beginning in one burst for a body that flows. */
    @Test
    void burstIsNoFlow() {
        progress.onBytes(100, 5000);
        progress.onBytes(101, 5000);
        assertFalse(progress.isFlowing(102));
        assertFalse(progress.mayGoOn(102, DEADLINE_MS));
    }

    /** Guards against counting the time in which a slow client takes nothing against the body. */
    @Test
    void timeInWhichTheReceiverTakesNothingDoesNotCount() {
        progress.onBytes(100, 50_000);
        progress.onBlocked(300);
        assertEquals(Double.POSITIVE_INFINITY, progress.stoppedAtMs(DEADLINE_MS));
        progress.onUnblocked(4000);
        assertEquals(100 + 3700 + BodyProgress.MAX_PAUSE_MS, progress.stoppedAtMs(DEADLINE_MS));
    }

    @Test
    void descriptionTellsBytesAndRate() {
        progress.onBytes(100, 5000);
        progress.onBytes(1500, 3000);
        assertEquals(
                "8000 bytes, about 5500 of them in the last second, last progress 1400 ms ago",
                progress.describe(1500));
    }
}
