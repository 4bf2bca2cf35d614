package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Seeded runs of real processes whose connections to discovery fall silent for longer than a change may stay unknown,
 * while endpoints drain. Signals come in series, SIGKILL at the earliest time that the rules allow; clients use their
 * connections until then; in some runs there is a crowd of hostile clients. The property {@code soak.seeds} gives the
 * number of seeds, {@code soak.first} the first one, {@code soak.parallel} how many run at a time.
 */
@Timeout(value = 3000, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DiscoverySoakTest {

    /** A change counts as notified after 6 s at the latest; the grace of a drain and the slack on sockets follow. */
    private static final int MAX_KNOWN_AFTER_MS = 6000 + 500 + 50;

    private static final int MAX_CLASS_DEADLINE_MS = 3000;
    /** The page's earliest SIGKILL after SIGTERM. */
    private static final int KILL_DELAY_MS = MAX_CLASS_DEADLINE_MS + 700;

    /** An answer that is still being written this long before SIGKILL may be cut, as it cannot become whole. */
    private static final int CUT_BEFORE_KILL_MS = 300;

    private static final int CLIENTS = 16;
    private static final int ENDPOINTS = 6;
    private static final int POLL_INTERVAL_MS = 10_000;
    private static final int MIN_SILENCE_MS = 6200;
    private static final int MAX_SILENCE_MS = 9500;
    private static final int OBSERVED_AFTER_SILENCE_MS = 7000;
    private static final int MAX_SHIFT_MS = 3000;

    @Test
    void noRequestReachesADrainingEndpointLate() throws Exception {
        int first = Integer.getInteger("soak.first", 1);
        int seeds = Integer.getInteger("soak.seeds", 4);
        ExecutorService threads = Executors.newFixedThreadPool(Integer.getInteger("soak.parallel", 4));
        try {
            List<Callable<List<String>>> runs = new ArrayList<>();
            for (int seed = first; seed < first + seeds; seed++) {
                int own = seed;
                runs.add(() -> play(own));
            }
            List<String> found = new ArrayList<>();
            for (Future<List<String>> run : threads.invokeAll(runs)) {
                found.addAll(run.get());
            }
            assertEquals(List.of(), found);
        } finally {
            threads.shutdownNow();
        }
    }

    private static List<String> play(int seed) throws Exception {
        try (Run run = new Run(seed)) {
            run.play();
            System.out.println("discovery soak: seed " + seed + " " + run.describe());
            return run.violations.isEmpty()
                    ? List.of()
                    : List.of("seed " + seed + " " + run.describe() + ": " + run.violations + "\n" + run.log());
        }
    }

    /** One run of a seed. */
    private static final class Run implements AutoCloseable {
        private final SplittableRandom random;
        private final SoakDiscovery.Ending ending;
        private final int hostileClients;
        private final boolean upgrade;
        private final boolean moves;
        private final int callMs;
        private final SoakEndpoint answers = new SoakEndpoint();
        private final List<String> violations = new CopyOnWriteArrayList<>();
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicReferenceArray<Long> drainedNanos = new AtomicReferenceArray<>(ENDPOINTS);
        private final AtomicReferenceArray<Double> lastRequestMs = new AtomicReferenceArray<>(ENDPOINTS);
        private final SidecarFixture fixture;
        private final SoakDiscovery discovery;
        private final Path folder = Files.createTempDirectory("soak");
        private final List<SidecarProcess> processes = new ArrayList<>();
        private final AtomicReference<InetSocketAddress> address = new AtomicReference<>();
        private final AtomicLong killNanos = new AtomicLong(Long.MAX_VALUE);
        private final List<SoakClient> clients = new ArrayList<>();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean isEnding;

        Run(int seed) throws IOException {
            random = new SplittableRandom(seed);
            SoakDiscovery.Ending[] endings = SoakDiscovery.Ending.values();
            ending = endings[random.nextInt(endings.length)];
            hostileClients = random.nextInt(3) == 0 ? 50 + random.nextInt(200) : 0;
            upgrade = random.nextInt(3) == 0;
            moves = random.nextInt(3) == 0;
            callMs = random.nextInt(3) == 0 ? 100 + random.nextInt(300) : random.nextInt(20);
            FakeEndpoint[] fakes = new FakeEndpoint[ENDPOINTS];
            for (int i = 0; i < fakes.length; i++) {
                int number = i;
                fakes[i] = new FakeEndpoint((connection, request) -> {
                    onRequest(number, connection.firstByteNanos);
                    answers.answer(connection, request);
                });
            }
            fixture = new SidecarFixture(fakes);
            discovery = new SoakDiscovery(fixture.endpoints, callMs);
            fixture.discoveryAddress = discovery.address();
            fixture.pollIntervalMs = POLL_INTERVAL_MS;
            fixture.balancers = 1 + random.nextInt(100);
            fixture.latencyObjectiveMs = 300 + random.nextInt(700);
            fixture.classDeadlineMs = MAX_CLASS_DEADLINE_MS;
            fixture.adminAddress = "127.0.0.1:0";
        }

        String describe() {
            StringBuilder drains = new StringBuilder();
            for (int i = 0; i < ENDPOINTS; i++) {
                if (lastRequestMs.get(i) != null) {
                    drains.append(Math.round(lastRequestMs.get(i))).append(' ');
                }
            }
            return ending + ", " + hostileClients + " hostile clients, upgrade " + upgrade + ", moves " + moves + ", "
                    + callMs + " ms a call, " + fixture.balancers + " balancers, " + served + " served, "
                    + discovery.polls() + " polls, last requests after drains: "
                    + drains.toString().strip();
        }

        String log() {
            StringBuilder logs = new StringBuilder();
            processes.forEach(process -> logs.append(process.log()).append("----\n"));
            return logs.toString();
        }

        private void onRequest(int endpoint, long firstByteNanos) {
            Long drainedAt = drainedNanos.get(endpoint);
            if (drainedAt == null || firstByteNanos < drainedAt) {
                return;
            }
            double afterMs = (firstByteNanos - drainedAt) / 1e6;
            lastRequestMs.set(endpoint, afterMs);
            if (afterMs > MAX_KNOWN_AFTER_MS) {
                violations.add(
                        "endpoint " + endpoint + " got a request " + Math.round(afterMs) + " ms after it drained");
            }
        }

        void play() throws Exception {
            processes.add(SidecarProcess.start(folder, fixture));
            address.set(processes.get(0).address());
            startClients();
            Thread.sleep(1000 + random.nextInt(MAX_SHIFT_MS));
            int silenceMs = MIN_SILENCE_MS + random.nextInt(MAX_SILENCE_MS - MIN_SILENCE_MS);
            discovery.silenceOpenConnections(ending);
            int firstMs = random.nextInt(MAX_SHIFT_MS);
            Thread.sleep(firstMs);
            drain(0);
            Thread.sleep(silenceMs - firstMs - MAX_SHIFT_MS);
            drain(1);
            Thread.sleep(MAX_SHIFT_MS);
            discovery.endSilence();
            drain(2);
            Thread.sleep(random.nextInt(1000));
            reloadInSeries(processes.get(0));
            if (upgrade) {
                fixture.listen = "127.0.0.1:" + address.get().getPort();
                processes.add(SidecarProcess.start(folder, fixture));
            }
            Thread.sleep(random.nextInt(1000));
            drain(3);
            Thread.sleep(OBSERVED_AFTER_SILENCE_MS - KILL_DELAY_MS);
            terminate(processes.get(0));
            assertTrue(served.get() > 0, "nothing was served");
        }

        private void drain(int endpoint) {
            drainedNanos.set(endpoint, System.nanoTime());
            discovery.drain(endpoint);
        }

        private void startClients() {
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client =
                        new SoakClient("c" + i, address, answers, random.split(), violations, served, killNanos);
                clients.add(client);
                start(client);
            }
            for (int i = 0; i < hostileClients; i++) {
                SplittableRandom own = random.split();
                String name = "h" + i;
                start(() -> new HostileClient(name, address, answers, own, violations, () -> isEnding).run());
            }
        }

        private void start(Runnable task) {
            Thread thread = new Thread(null, task, "soak", 128 * 1024);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }

        private void reloadInSeries(SidecarProcess process) throws Exception {
            for (int i = 0; i < 4; i++) {
                if (moves) {
                    fixture.discoveryAddress = i % 2 == 0 ? discovery.secondAddress() : discovery.address();
                    process.replaceConfig(fixture);
                }
                process.reload();
                Thread.sleep(random.nextInt(60));
            }
        }

        private void terminate(SidecarProcess terminated) throws Exception {
            if (!terminated.isAlive()) {
                violations.add("the process has ended by itself");
                return;
            }
            killNanos.set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_DELAY_MS - CUT_BEFORE_KILL_MS));
            terminated.terminate();
            if (!terminated.awaitExit(KILL_DELAY_MS)) {
                terminated.kill();
            }
            end();
        }

        private void end() throws InterruptedException {
            isEnding = true;
            clients.forEach(SoakClient::stop);
            for (Thread thread : threads) {
                thread.join(TimeUnit.SECONDS.toMillis(20));
            }
        }

        @Override
        public void close() throws Exception {
            end();
            for (SidecarProcess process : processes) {
                process.kill();
            }
            for (SidecarProcess process : processes) {
                process.close();
            }
            fixture.close();
            discovery.close();
        }
    }
}
