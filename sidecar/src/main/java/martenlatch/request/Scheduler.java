package martenlatch.request;

/**
 * The clock of a process and its timers. The clock never runs backwards, and is set to Unix time once at the start,
 * because discovery tells in Unix time when an endpoint started. Every method is called, and every task runs, on the
 * one thread that owns the state.
 */
public interface Scheduler {

    /** A task that has not run yet. */
    interface Timer {
        /** Forgets the task; it is no error if it has run already. */
        void cancel();
    }

    /** Milliseconds since 1970, with fractions. */
    double now();

    /** Runs a task after so many milliseconds; 0 and less mean as soon as possible, but not before this returns. */
    Timer after(double delayMs, Runnable task);
}
