package martenlatch.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import martenlatch.request.Scheduler;

/** The clock and timers of an event loop. The clock starts at Unix time and is advanced by the monotonic clock. */
public final class EventLoopScheduler implements Scheduler {

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /** Creates a scheduler that runs its timers on an event loop. */
    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    @Override
    public Timer after(double delayMs, Runnable task) {
        long delayNanos = (long) (Math.max(0, delayMs) * NANOS_PER_MS);
        Future<?> scheduled = loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
