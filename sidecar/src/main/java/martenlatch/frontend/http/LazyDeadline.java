package martenlatch.frontend.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One deadline that is moved often. A timer that is due no later than the new deadline is kept and checks the deadline
 * when it fires: a connection in use would otherwise start and cancel one with every request.
 */
final class LazyDeadline {

    private final EventExecutor executor;
    private final Runnable onDue;
    private Future<?> timer;
    private long timerNanos;
    private boolean running;
    private long dueNanos;
    private int durationMs;

    LazyDeadline(EventExecutor executor, Runnable onDue) {
        this.executor = executor;
        this.onDue = onDue;
    }

    /** Starts the deadline, or moves it. */
    void start(int ms) {
        running = true;
        durationMs = ms;
        dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        if (timer != null && timerNanos - dueNanos > 0) {
            cancelTimer();
        }
        if (timer == null) {
            startTimer();
        }
    }

    /** From now on there is no deadline. */
    void stop() {
        running = false;
    }

    /** Stops for good. */
    void close() {
        running = false;
        cancelTimer();
    }

    boolean isRunning() {
        return running;
    }

    /** How long the deadline was when it was started, in milliseconds. */
    int durationMs() {
        return durationMs;
    }

    private void startTimer() {
        timerNanos = dueNanos;
        timer = executor.schedule(this::onTimer, dueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private void onTimer() {
        timer = null;
        if (running && dueNanos - System.nanoTime() > 0) {
            startTimer();
        } else if (running) {
            running = false;
            onDue.run();
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }
}
