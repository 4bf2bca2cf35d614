package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import martenlatch.sidecar.ChangingDiscovery.Ending;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests watches that fall silent while the endpoint list changes, on real processes. */
@Timeout(120)
class SilentWatchTest {

    /** A change counts as notified this long after discovery has it, and requests may be sent for the grace more. */
    private static final int MAX_LIST_AGE_MS = 6000;

    /** The grace of a drain in the settings of the fixture, and the slack of the rules on sockets. */
    private static final int DRAIN_GRACE_MS = 550;

    private static final int POLL_INTERVAL_MS = 10_000;
    private static final int BALANCERS = 16;
    private static final int CHANGE_AFTER_MS = 3000;
    /** Within the wait of the watch, which is 10 s at least, and later than the change counts as notified. */
    private static final int SILENCE_MS = 9700;

    private static final int OBSERVED_AFTER_SILENCE_MS = 3500;
    private static final int DEADLINE_MS = 2000;
    private static final int REQUEST_INTERVAL_MS = 15;

    /**
     * Guards against a change that stays unknown while the open watch says nothing, and after the watch has ended
     * (incident 94dd5d): the list was polled up to 3 s after the end, the later the older it was.
     */
    @Test
    void changeDuringSilentWatchIsKnownInTime() {
        List<CompletableFuture<List<String>>> runs = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            for (Ending ending : Ending.values()) {
                runs.add(CompletableFuture.supplyAsync(() -> lateRequests(ending, 1), threads));
            }
            runs.add(CompletableFuture.supplyAsync(() -> lateRequests(Ending.RESET, 2), threads));
            List<String> found = new ArrayList<>();
            runs.forEach(run -> found.addAll(run.join()));
            assertEquals(List.of(), found);
        } finally {
            threads.shutdownNow();
        }
    }

    private static List<String> lateRequests(Ending ending, int silentWatches) {
        try (Run run = new Run(ending, silentWatches)) {
            return run.play();
        } catch (Exception e) {
            throw new CompletionException(ending.name(), e);
        }
    }

    /** One sidecar with two endpoints, the first of which drains while the watch is silent. */
    private static final class Run implements AutoCloseable {
        private final Ending ending;
        private final int silentWatches;
        private final AtomicLong changedNanos = new AtomicLong();
        private final AtomicLong silenceEndedNanos = new AtomicLong();
        private final AtomicInteger late = new AtomicInteger();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicLong lastNanos = new AtomicLong();
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final FakeEndpoint draining = new FakeEndpoint(this::onDrainingEndpoint);
        private final SidecarFixture fixture = new SidecarFixture(draining, FakeEndpoint.serving());
        private final ChangingDiscovery discovery;

        Run(Ending ending, int silentWatches) throws IOException {
            this.ending = ending;
            this.silentWatches = silentWatches;
            discovery = new ChangingDiscovery(
                    ending,
                    silentWatches,
                    SidecarFixture.line(0, draining.address(), "in_service", 0) + ","
                            + SidecarFixture.line(1, fixture.endpoints.get(1).address(), "in_service", 0),
                    SidecarFixture.line(0, draining.address(), "terminating", 0));
            fixture.discoveryAddress = discovery.address();
            fixture.pollIntervalMs = POLL_INTERVAL_MS;
            fixture.balancers = BALANCERS;
        }

        private void onDrainingEndpoint(RawHttpClient connection, RawHttpClient.Message request) throws IOException {
            long changedAt = changedNanos.get();
            if (changedAt != 0 && SidecarFixture.elapsedMs(changedAt) > MAX_LIST_AGE_MS + DRAIN_GRACE_MS) {
                late.incrementAndGet();
                lastNanos.set(System.nanoTime());
            }
            FakeEndpoint.answer(connection, 200, "", "served");
        }

        List<String> play() throws Exception {
            try (SidecarProcess process = SidecarProcess.start(fixture)) {
                CompletableFuture<Void> client = CompletableFuture.runAsync(() -> sendRequests(process));
                discovery.awaitFirstWatch();
                Thread.sleep(CHANGE_AFTER_MS);
                changedNanos.set(System.nanoTime());
                discovery.change();
                Thread.sleep(SILENCE_MS - CHANGE_AFTER_MS);
                silenceEndedNanos.set(System.nanoTime());
                discovery.endSilence();
                Thread.sleep(OBSERVED_AFTER_SILENCE_MS);
                stopped.set(true);
                client.get(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                return late.get() == 0 ? List.of() : List.of(describe());
            }
        }

        private String describe() {
            return ending + " of " + silentWatches + " watches: " + late + " of " + served + " requests late, the last "
                    + sinceMs(changedNanos) + " ms after the change, " + sinceMs(silenceEndedNanos)
                    + " ms after the end of the silence, " + discovery.polls() + " polls";
        }

        private long sinceMs(AtomicLong sinceNanos) {
            return TimeUnit.NANOSECONDS.toMillis(lastNanos.get() - sinceNanos.get());
        }

        private void sendRequests(SidecarProcess process) {
            String id = "r" + ending + "x" + silentWatches + "-";
            try (RawHttpClient client = RawHttpClient.connect(process.address())) {
                for (int i = 0; !stopped.get(); i++) {
                    client.send("GET /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + i
                            + "\r\nX-Class: read\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\n\r\n");
                    assertEquals(200, client.read().status());
                    served.incrementAndGet();
                    Thread.sleep(REQUEST_INTERVAL_MS);
                }
            } catch (IOException | InterruptedException e) {
                throw new CompletionException(e);
            }
        }

        @Override
        public void close() throws IOException {
            stopped.set(true);
            fixture.close();
            discovery.close();
        }
    }
}
