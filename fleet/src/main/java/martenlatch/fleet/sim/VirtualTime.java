package martenlatch.fleet.sim;

import java.util.PriorityQueue;
import martenlatch.request.Scheduler;

/**
 * The clock and scheduler of a simulation. Tasks run in the order of their due times; tasks due at the same
 * time run in the order in which they were scheduled.
 */
public final class VirtualTime implements Scheduler {

    /** Any start works as long as it is above 0, because endpoints' start times must be positive. */
    private static final double START_MS = 1.7e12;

    private static final double NANOS_PER_MS = 1e6;

    private static final class Task implements Comparable<Task>, Timer {
        private final double dueMs;
        private final long sequence;
        private Runnable work;

        Task(double dueMs, long sequence, Runnable work) {
            this.dueMs = dueMs;
            this.sequence = sequence;
            this.work = work;
        }

        @Override
        public void cancel() {
            work = null;
        }

        @Override
        public int compareTo(Task other) {
            return dueMs != other.dueMs ? Double.compare(dueMs, other.dueMs) : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private double elapsedMs;
    private long sequence;

    @Override
    public double now() {
        return START_MS + elapsedMs;
    }

    /** Returns the milliseconds since the simulation began. */
    public double elapsed() {
        return elapsedMs;
    }

    /** Returns nanoseconds since the simulation began, in place of {@link System#nanoTime()}. */
    public long nanos() {
        return (long) (elapsedMs * NANOS_PER_MS);
    }

    @Override
    public Timer after(double ms, Runnable work) {
        Task task = new Task(elapsedMs + Math.max(0, ms), sequence++, work);
        tasks.add(task);
        return task;
    }

    /** Runs all tasks due up to {@code endMs}, advances the clock to it and returns how many tasks ran. */
    public long runUntil(double endMs) {
        long tasksRun = 0;
        while (!tasks.isEmpty() && tasks.peek().dueMs <= endMs) {
            Task next = tasks.poll();
            elapsedMs = next.dueMs;
            if (next.work != null) {
                next.work.run();
                tasksRun++;
            }
        }
        elapsedMs = Math.max(elapsedMs, endMs);
        return tasksRun;
    }
}
