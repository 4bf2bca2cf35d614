package martenlatch.frontend.extproc;

import java.util.Comparator;
import java.util.PriorityQueue;
import martenlatch.request.Scheduler;

/** A scheduler whose clock a test advances. It is not thread-safe; tasks run on the thread that advances it. */
public final class ManualScheduler implements Scheduler {

    private record Due(double dueMs, long number, Runnable task) {}

    private final PriorityQueue<Due> tasks =
            new PriorityQueue<>(Comparator.comparingDouble(Due::dueMs).thenComparingLong(Due::number));
    /** Small enough that a double can distinguish times drawn at random. */
    private double nowMs = 1_000_000;

    private long nextNumber;

    @Override
    public double now() {
        return nowMs;
    }

    @Override
    public Timer after(double delayMs, Runnable task) {
        Due added = new Due(nowMs + Math.max(0, delayMs), nextNumber++, task);
        tasks.add(added);
        return () -> tasks.remove(added);
    }

    /** Advances the clock to a time and runs each task that falls due on the way, with the clock at its due time. */
    public void advanceTo(double targetMs) {
        while (!tasks.isEmpty() && tasks.peek().dueMs() <= targetMs) {
            Due next = tasks.poll();
            nowMs = Math.max(nowMs, next.dueMs());
            next.task().run();
        }
        nowMs = Math.max(nowMs, targetMs);
    }

    /** Returns the time at which the next task is due, or infinity if there is none. */
    public double nextDue() {
        return tasks.isEmpty() ? Double.POSITIVE_INFINITY : tasks.peek().dueMs();
    }

    public void advance(double delayMs) {
        advanceTo(nowMs + delayMs);
    }

    /** Returns the number of scheduled tasks. */
    public int waiting() {
        return tasks.size();
    }
}
