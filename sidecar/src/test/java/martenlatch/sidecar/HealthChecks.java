package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** Checks the health of a sidecar all the time, which shows when the machine holds up the process or its clients. */
final class HealthChecks implements Closeable {

    /** A health check that takes longer was held up. */
    private static final long MAX_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    private static final int INTERVAL_MS = 1;

    /** A health check that was held up. */
    private record SlowCheck(long startedNanos, long endedNanos) {}

    private final RawHttpClient client;
    private final Thread thread;
    private long startedNanos = System.nanoTime();
    private final List<SlowCheck> slowChecks = new CopyOnWriteArrayList<>();

    HealthChecks(InetSocketAddress address) throws IOException {
        client = RawHttpClient.connect(address);
        thread = new Thread(this::run, "health-checks");
        thread.setDaemon(true);
        thread.start();
    }

    private void run() {
        try {
            while (true) {
                Thread.sleep(INTERVAL_MS);
                client.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").read();
                onEnded();
            }
        } catch (IOException e) {
            // The process or the test has ended.
            onEnded();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onEnded() {
        long endedNanos = System.nanoTime();
        if (endedNanos - startedNanos > MAX_NANOS) {
            slowChecks.add(new SlowCheck(startedNanos, endedNanos));
        }
        startedNanos = endedNanos;
    }

    /** Returns whether a health check was held up at some time between these two on {@link System#nanoTime}. */
    boolean wereSlow(long fromNanos, long untilNanos) {
        return slowChecks.stream()
                .anyMatch(check -> check.startedNanos - untilNanos < 0 && fromNanos - check.endedNanos < 0);
    }

    /** Ends the checks; one that is under way counts. */
    @Override
    public void close() throws IOException {
        client.close();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
