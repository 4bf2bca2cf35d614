package martenlatch.host;

/**
 * The one clock of a process, in milliseconds, and what is to be done later by it. It never goes back, and
 * agrees with Unix time, because sources of membership tell in Unix time when an endpoint started. Everything
 * here is called, and every task runs, on the one thread that owns the state.
 */
public interface Time {

    /** A task that has not run yet. */
    interface Timer {
        /** Forgets the task; too late is no error. */
        void cancel();
    }

    /** Milliseconds since 1970, with fractions. */
    double now();

    /** Runs a task after so many milliseconds; none and less mean as soon as possible, but not at once. */
    Timer after(double ms, Runnable task);
}
