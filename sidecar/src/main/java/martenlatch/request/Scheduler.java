package martenlatch.request;

/**
 * The clock and timers of a process. The clock is set to Unix time once at startup, because discovery reports the start
 * times of endpoints in Unix time, and is monotonic after that. Every method is called and every task runs on the
 * single thread that owns the state.
 */
public interface Scheduler {

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect if it has run already. */
        void cancel();
    }

    /** Returns the time in milliseconds since the Unix epoch, with fractions. */
    double now();

    /** Runs a task after a delay in milliseconds; never before this method returns, even if the delay is 0 or less. */
    Timer after(double delayMs, Runnable task);
}
