package martenlatch.frontend.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A deadline that is moved often. A timer that is due no later than the new deadline is kept and rescheduled when it
 * fires; otherwise a connection in use would start and cancel a timer with every request.
 */
final class LazyDeadline {

    private final EventExecutor executor;
    private final Runnable onDue;
    private Future<?> timer;
    private long timerDueNanos;
    private boolean running;
    private long dueNanos;
    private int durationMs;

    LazyDeadline(EventExecutor executor, Runnable onDue) {
        this.executor = executor;
        this.onDue = onDue;
    }

    /** Starts the deadline, or moves it to {@code ms} from now. */
    void start(int ms) {
        running = true;
        durationMs = ms;
        dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        if (timer != null && timerDueNanos - dueNanos > 0) {
            cancelTimer();
        }
        if (timer == null) {
            startTimer();
        }
    }

    /** Clears the deadline; a running timer has no effect when it fires. */
    void stop() {
        running = false;
    }

    /** Clears the deadline and cancels the timer. */
    void close() {
        running = false;
        cancelTimer();
    }

    boolean isRunning() {
        return running;
    }

    /** Returns the duration that the deadline was last started with, in milliseconds. */
    int durationMs() {
        return durationMs;
    }

    private void startTimer() {
        timerDueNanos = dueNanos;
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
