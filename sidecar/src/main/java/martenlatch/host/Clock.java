package martenlatch.host;

/**
 * The one clock of a sidecar, in milliseconds: it runs with the monotonic clock, so it never goes back, and
 * was set once to Unix time, because discovery tells in Unix time when an endpoint started.
 */
public final class Clock {

    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    public double now() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }
}
