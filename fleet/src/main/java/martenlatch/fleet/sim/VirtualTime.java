package martenlatch.fleet.sim;

import java.util.PriorityQueue;
import martenlatch.request.Scheduler;

/**
 * The one clock of a simulation. Tasks run in the order of their times, and of one time in that of their
 * making.
 */
public final class VirtualTime implements Scheduler {

    /** Any moment will do; endpoints' start times must lie above 0. */
    private static final double START_MS = 1.7e12;

    private static final double NANOS_IN_MS = 1e6;

    private static final class Task implements Comparable<Task>, Timer {
        private final double at;
        private final long order;
        private Runnable work;

        Task(double at, long order, Runnable work) {
            this.at = at;
            this.order = order;
            this.work = work;
        }

        @Override
        public void cancel() {
            work = null;
        }

        @Override
        public int compareTo(Task other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private double sinceStart;
    private long order;

    @Override
    public double now() {
        return START_MS + sinceStart;
    }

    /** Milliseconds since the simulation began. */
    public double elapsed() {
        return sinceStart;
    }

    /** The same, as {@link System#nanoTime()} would tell it. */
    public long nanos() {
        return (long) (sinceStart * NANOS_IN_MS);
    }

    @Override
    public Timer after(double ms, Runnable work) {
        Task task = new Task(sinceStart + Math.max(0, ms), order++, work);
        tasks.add(task);
        return task;
    }

    /** Runs until that time, or until nothing is left; returns how many tasks have run. */
    public long runUntil(double endMs) {
        long ran = 0;
        while (!tasks.isEmpty() && tasks.peek().at <= endMs) {
            Task next = tasks.poll();
            sinceStart = next.at;
            if (next.work != null) {
                next.work.run();
                ran++;
            }
        }
        sinceStart = Math.max(sinceStart, endMs);
        return ran;
    }
}
