package martenlatch.frontend.extproc;

import java.util.Comparator;
import java.util.PriorityQueue;
import martenlatch.request.Scheduler;

/** A clock that a test moves. All of it happens on one thread, which is the test's to choose. */
public final class ManualScheduler implements Scheduler {

    private record Due(double at, long number, Runnable task) {}

    private final PriorityQueue<Due> due =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::number));
    /** Small, so that a double tells times apart that are drawn at random. */
    private double now = 1_000_000;

    private long numbers;

    @Override
    public double now() {
        return now;
    }

    @Override
    public Timer after(double ms, Runnable task) {
        Due made = new Due(now + Math.max(0, ms), numbers++, task);
        due.add(made);
        return () -> due.remove(made);
    }

    /** Runs what comes due until then, each at its time. */
    public void advanceTo(double then) {
        while (!due.isEmpty() && due.peek().at() <= then) {
            Due next = due.poll();
            now = Math.max(now, next.at());
            next.task().run();
        }
        now = Math.max(now, then);
    }

    /** When the next task is due; infinite if there is none. */
    public double nextDue() {
        return due.isEmpty() ? Double.POSITIVE_INFINITY : due.peek().at();
    }

    public void advance(double ms) {
        advanceTo(now + ms);
    }

    /** How many tasks wait. */
    public int waiting() {
        return due.size();
    }
}
