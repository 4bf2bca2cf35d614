package martenlatch.discovery;

import java.util.PriorityQueue;
import martenlatch.request.Scheduler;

/** A clock that the test advances. */
final class TestClock implements Scheduler {
    private static final class Task implements Timer, Comparable<Task> {
        private final double dueAtMs;
        private Runnable action;

        Task(double dueAtMs, Runnable action) {
            this.dueAtMs = dueAtMs;
            this.action = action;
        }

        @Override
        public void cancel() {
            action = () -> {};
        }

        @Override
        public int compareTo(Task other) {
            return Double.compare(dueAtMs, other.dueAtMs);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private double now;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer after(double ms, Runnable action) {
        Task task = new Task(now + ms, action);
        tasks.add(task);
        return task;
    }

    void advance(double ms) {
        double until = now + ms;
        while (!tasks.isEmpty() && tasks.peek().dueAtMs <= until) {
            Task next = tasks.poll();
            now = next.dueAtMs;
            next.action.run();
        }
        now = until;
    }
}
