package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A client with small requests at a fixed rate, each on a new connection, which records how each of them ended. */
final class CalmClients implements Closeable {

    private static final int INTERVAL_MS = 100;
    private static final int DEADLINE_MS = 3000;
    /** An answer that is later than this after the deadline counts as lost. */
    private static final int LATE_ANSWER_MS = 500;

    private final InetSocketAddress address;
    private final List<Thread> threads = new CopyOnWriteArrayList<>();
    private final List<Double> latenciesMs = new CopyOnWriteArrayList<>();
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private final AtomicInteger counter = new AtomicInteger();
    private volatile boolean stopped;

    CalmClients(InetSocketAddress address) {
        this.address = address;
        start(this::sendAtFixedRate);
    }

    private void start(Runnable task) {
        Thread thread = new Thread(null, task, "calm", 128 * 1024);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void sendAtFixedRate() {
        try {
            while (!stopped) {
                start(this::sendOne);
                Thread.sleep(INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendOne() {
        String id = "calm" + counter.incrementAndGet();
        long startedNanos = System.nanoTime();
        try (RawHttpClient client = RawHttpClient.connect(address)) {
            client.socket.setSoTimeout(DEADLINE_MS + LATE_ANSWER_MS);
            int status = client.send("GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id
                            + "\r\nX-Class: read\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n")
                    .read()
                    .status();
            if (status == 200) {
                latenciesMs.add(SidecarFixture.elapsedMs(startedNanos));
            } else {
                failures.add(id + ": status " + status);
            }
        } catch (IOException e) {
            failures.add(id + ": " + e + " after " + SidecarFixture.elapsedMs(startedNanos) + " ms");
        }
    }

    /** Sends no more requests and waits until all have ended. */
    @Override
    public void close() {
        stopped = true;
        for (Thread thread : threads) {
            try {
                thread.join(SidecarFixture.AWAIT_TIMEOUT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Returns the requests that were not served. */
    List<String> failures() {
        return failures;
    }

    /** Returns the requests that got no answer at all; one that is rejected has got one. */
    List<String> unanswered() {
        return failures.stream()
                .filter(failure -> !failure.contains(": status 503"))
                .toList();
    }

    int served() {
        return latenciesMs.size();
    }

    /** Returns the longest time that an answer took, in milliseconds. */
    double slowestMs() {
        return new ArrayList<>(latenciesMs).stream().mapToDouble(ms -> ms).max().orElse(0);
    }
}
