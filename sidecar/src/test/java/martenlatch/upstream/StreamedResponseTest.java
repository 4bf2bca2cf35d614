package martenlatch.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;
import org.junit.jupiter.api.Test;

/** An answer that is passed on: its parts, its pauses, its stall, on a clock that the test moves. */
class StreamedResponseTest {

    private static final class Clock implements Scheduler {
        private record Task(double at, Runnable run) {}

        private double now;
        private final List<Task> tasks = new ArrayList<>();

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double ms, Runnable task) {
            Task made = new Task(now + Math.max(0, ms), task);
            tasks.add(made);
            return () -> tasks.remove(made);
        }

        void pass(double ms) {
            double until = now + ms;
            int ran = 0;
            for (Task next = due(until); next != null; next = due(until)) {
                assertTrue(ran++ < 1000, "timers without end");
                tasks.remove(next);
                now = Math.max(now, next.at());
                next.run().run();
            }
            now = until;
        }

        private Task due(double until) {
            return tasks.stream().filter(task -> task.at() <= until).findFirst().orElse(null);
        }
    }

    private final Clock clock = new Clock();
    private boolean reading = true;
    private boolean closed;
    private final StringBuilder got = new StringBuilder();
    private final StreamedResponse response = new StreamedResponse(
            -1,
            new StreamedResponse.Connection() {
                @Override
                public void setReading(boolean on) {
                    reading = on;
                }

                @Override
                public void close() {
                    closed = true;
                }
            },
            clock);
    private final RemainingBody.Receiver receiver = new RemainingBody.Receiver() {
        @Override
        public void onPart(byte[] bytes) {
            got.append(new String(bytes, StandardCharsets.UTF_8));
        }

        @Override
        public void onEnd(boolean whole) {
            got.append(whole ? "." : "!");
        }
    };

    private void part(String text) {
        response.onPart(text.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void nothingIsReadUntilSomebodyTakesIt() {
        part("a");
        assertFalse(reading);
        response.transferTo(receiver);
        assertTrue(reading);
        part("b");
        response.pause(true);
        assertFalse(reading);
        response.onEnd(true);
        response.onEnd(false);
        assertEquals("ab.", got.toString(), "one end");
        clock.pass(60_000);
        assertFalse(closed);
        assertEquals(0, clock.tasks.size(), "no timer is left");
    }

    /** Guards against a stream whose one side is gone without a word: nobody would ever end it. */
    @Test
    void whatStallsIsCutAndWhatMovesIsNot() {
        response.transferTo(receiver);
        for (int i = 0; i < 10; i++) {
            clock.pass(StreamedResponse.STALL_MS - 1);
            part("x");
        }
        assertFalse(closed, "slow is not stalled");
        clock.pass(StreamedResponse.STALL_MS - 1);
        assertFalse(closed);
        clock.pass(2);
        assertTrue(closed);
    }

    @Test
    void whoGivesItUpHearsNoEnd() {
        response.transferTo(receiver);
        part("a");
        response.abandon();
        assertTrue(closed);
        response.onEnd(false);
        assertEquals("a", got.toString());
        assertEquals(0, clock.tasks.size());
    }
}
