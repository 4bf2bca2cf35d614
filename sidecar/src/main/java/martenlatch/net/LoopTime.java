package martenlatch.net;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import martenlatch.request.Scheduler;

/** Scheduler on an event loop: it runs with the monotonic clock and was set once to Unix time. */
public final class LoopTime implements Scheduler {

    private final EventLoop loop;
    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    public LoopTime(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public double now() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    @Override
    public Timer after(double ms, Runnable task) {
        Future<?> scheduled = loop.schedule(task, (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
        return () -> scheduled.cancel(false);
    }
}
