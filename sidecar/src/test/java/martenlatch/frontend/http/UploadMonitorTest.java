package martenlatch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import martenlatch.request.Scheduler;
import org.junit.jupiter.api.Test;

/** Tests since when the last byte of an upload may have been written, on a manual clock. */
class UploadMonitorTest {

    private static final int LENGTH = 2_000_000;

    /** A clock with at most one task. */
    private static final class Clock implements Scheduler {
        private double nowMs;
        private double dueMs = Double.NaN;
        private Runnable task;

        @Override
        public double now() {
            return nowMs;
        }

        @Override
        public Timer after(double ms, Runnable next) {
            dueMs = nowMs + ms;
            task = next;
            return () -> dueMs = Double.NaN;
        }

        void advanceTo(double untilMs) {
            while (dueMs <= untilMs) {
                nowMs = dueMs;
                dueMs = Double.NaN;
                task.run();
            }
            nowMs = untilMs;
        }
    }

    private final Clock clock = new Clock();
    private boolean readToEnd = true;
    private final List<Double> reported = new ArrayList<>();
    private final UploadMonitor.Connection connection = new UploadMonitor.Connection() {
        @Override
        public boolean readAhead() {
            return readToEnd;
        }

        @Override
        public void onMayBeComplete(double sinceMs) {
            reported.add(sinceMs);
        }
    };

    @Test
    void timeRunsFromTheFirstPauseUntilReadingHasCaughtUp() {
        UploadMonitor monitor = new UploadMonitor(LENGTH, false, clock, connection);
        clock.advanceTo(10);
        monitor.setPaused(true);
        clock.advanceTo(50);
        monitor.setPaused(false);
        clock.advanceTo(100);
        monitor.setPaused(true);
        clock.advanceTo(300);
        assertEquals(10, monitor.mayBeCompleteSinceMs());
        monitor.setPaused(false);
        clock.advanceTo(300 + UploadClock.CATCH_UP_MS);
        assertEquals(List.of(10.0, 10.0, Double.NaN), reported);
    }

    /** Guards against forgetting what a client wrote, as memory was short and not all of it could be read. */
    @Test
    void inputThatIsLeftUnreadIsNotCaughtUpWith() {
        UploadMonitor monitor = new UploadMonitor(LENGTH, true, clock, connection);
        readToEnd = false;
        monitor.setPaused(false);
        clock.advanceTo(1000);
        assertEquals(0, monitor.mayBeCompleteSinceMs());
        readToEnd = true;
        clock.advanceTo(2000);
        assertEquals(Double.NaN, monitor.mayBeCompleteSinceMs());
    }

    /** Guards against a timer of an upload that concerns the next one. */
    @Test
    void closedMonitorReportsNothing() {
        UploadMonitor monitor = new UploadMonitor(LENGTH, true, clock, connection);
        monitor.setPaused(false);
        monitor.close();
        clock.advanceTo(1000);
        assertEquals(List.of(), reported);
    }
}
