package martenlatch.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import martenlatch.net.MemoryBudget;
import martenlatch.request.BodyProgress;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;
import org.junit.jupiter.api.Test;

/** Tests forwarding, pausing and stall detection of a streamed response on a manual clock. */
class StreamedResponseTest {

    /** A clock that runs the tasks that become due when the test advances it. */
    private static final class Clock implements Scheduler {
        private record Task(double dueMs, Runnable action) {}

        private double nowMs;
        private final List<Task> tasks = new ArrayList<>();

        @Override
        public double now() {
            return nowMs;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            Task scheduled = new Task(nowMs + Math.max(0, ms), task);
            tasks.add(scheduled);
            return () -> tasks.remove(scheduled);
        }

        void advance(double ms) {
            double untilMs = nowMs + ms;
            int taskCount = 0;
            for (Task next = nextDue(untilMs); next != null; next = nextDue(untilMs)) {
                assertTrue(taskCount++ < 1000, "timers are scheduled endlessly");
                tasks.remove(next);
                nowMs = Math.max(nowMs, next.dueMs());
                next.action().run();
            }
            nowMs = untilMs;
        }

        private Task nextDue(double untilMs) {
            return tasks.stream()
                    .filter(task -> task.dueMs() <= untilMs)
                    .findFirst()
                    .orElse(null);
        }
    }

    private final Clock clock = new Clock();
    private boolean reading = true;
    private boolean closed;
    private final StringBuilder received = new StringBuilder();
    private final StreamedResponse response = new StreamedResponse(
            -1,
            new StreamedResponse.Connection() {
                @Override
                public void setReading(boolean enabled) {
                    reading = enabled;
                }

                @Override
                public void close() {
                    closed = true;
                }
            },
            clock,
            new MemoryBudget(1_000_000),
            new BodyProgress(0));
    private final RemainingBody.Receiver receiver = new RemainingBody.Receiver() {
        @Override
        public void onPart(byte[] bytes) {
            received.append(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(boolean complete) {
            received.append(complete ? "." : "!");
        }
    };

    private void receivePart(String text) {
        response.onPart(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void readingStartsWhenReceiverIsSet() {
        receivePart("a");
        assertFalse(reading);
        response.transferTo(receiver);
        assertTrue(reading);
        receivePart("b");
        response.pause(true);
        assertFalse(reading);
        response.onEnd(true);
        response.onEnd(false);
        assertEquals("ab.", received.toString(), "the end is reported once");
        clock.advance(60_000);
        assertFalse(closed);
        assertEquals(0, clock.tasks.size(), "no timer is pending");
    }

    /** Guards against a stream that never ends because the endpoint or the client is gone without notice. */
    @Test
    void stalledStreamIsClosedAndSlowStreamIsNot() {
        response.transferTo(receiver);
        for (int i = 0; i < 10; i++) {
            clock.advance(StreamedResponse.STALL_MS - 1);
            receivePart("x");
        }
        assertFalse(closed, "a slow stream is not stalled");
        clock.advance(StreamedResponse.STALL_MS - 1);
        assertFalse(closed);
        clock.advance(2);
        assertTrue(closed);
    }

    /** Guards against blaming an endpoint for a response that was not read. */
    @Test
    void endOfResponseThatIsNotReadIsNotTheEndpointsFault() {
        List<RemainingBody.End> ends = new ArrayList<>();
        response.setEndListener((end, progress) -> ends.add(end));
        response.setArrivalDeadline(100);
        clock.advance(101);
        assertTrue(closed, "time runs although no receiver is set");
        response.onEnd(false);
        assertEquals(List.of(RemainingBody.End.NOT_TAKEN), ends);
        assertTrue(response.isTruncated());
    }

    @Test
    void clientThatLeavesInterruptsAResponseOnlyIfItIsRead() {
        List<RemainingBody.End> ends = new ArrayList<>();
        response.setEndListener((end, progress) -> ends.add(end));
        response.transferTo(receiver);
        response.abandon();
        assertEquals(List.of(RemainingBody.End.INTERRUPTED), ends);
    }

    @Test
    void clientThatLeavesBeforeAResponseIsReadIsNotTheEndpointsFault() {
        List<RemainingBody.End> ends = new ArrayList<>();
        response.setEndListener((end, progress) -> ends.add(end));
        response.abandon();
        assertEquals(List.of(RemainingBody.End.NOT_TAKEN), ends);
    }

    @Test
    void abandonedStreamReportsNoEnd() {
        response.transferTo(receiver);
        receivePart("a");
        response.abandon();
        assertTrue(closed);
        response.onEnd(false);
        assertEquals("a", received.toString());
        assertEquals(0, clock.tasks.size());
    }
}
