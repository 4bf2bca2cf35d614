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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Seeded runs of real processes under hostile clients, slow endpoints, reloads in series, an upgrade, SIGTERM and
 * SIGKILL. Clients use their connections until the process is gone. The property {@code soak.seeds} gives the number of
 * seeds, {@code soak.first} the first one.
 */
@Timeout(value = 3000, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SoakTest {

    private static final int MIB = 1024 * 1024;
    private static final int MAX_CLASS_DEADLINE_MS = 3000;
    /** The page's earliest SIGKILL after SIGTERM. */
    private static final int KILL_DELAY_MS = MAX_CLASS_DEADLINE_MS + 700;

    /** An answer that is still being written this long before SIGKILL may be cut, as it cannot become whole. */
    private static final int CUT_BEFORE_KILL_MS = 300;

    private static final int CLIENTS = 12;
    private static final int ENDPOINTS = 6;
    private static final int[] MEMORY_MB = {128, 144, 192};

    static IntStream seeds() {
        int first = Integer.getInteger("soak.first", 1);
        return IntStream.range(first, first + Integer.getInteger("soak.seeds", 3));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void everyRequestGetsOneWholeAnswerInTime(int seed) throws Exception {
        try (Run run = new Run(seed)) {
            run.play();
            assertEquals(List.of(), run.violations, "seed " + seed + "\n" + run.log());
        }
    }

    /** One run of a seed. */
    private static final class Run implements AutoCloseable {
        private final SplittableRandom random;
        private final int memoryMb;
        private final int hostileClients;
        private final boolean upgrade;
        private final SoakEndpoint endpoints = new SoakEndpoint();
        private final List<String> violations = new CopyOnWriteArrayList<>();
        private final AtomicInteger served = new AtomicInteger();
        private final SidecarFixture fixture;
        private final Path folder = Files.createTempDirectory("soak");
        private final List<SidecarProcess> processes = new ArrayList<>();
        private final AtomicReference<InetSocketAddress> address = new AtomicReference<>();
        private final AtomicLong killNanos = new AtomicLong(Long.MAX_VALUE);
        private final List<SoakClient> clients = new ArrayList<>();
        private final List<Thread> threads = new ArrayList<>();
        private volatile boolean ending;

        Run(int seed) throws IOException {
            random = new SplittableRandom(seed);
            memoryMb = MEMORY_MB[random.nextInt(MEMORY_MB.length)];
            hostileClients = random.nextInt(3) == 0 ? 0 : 50 + random.nextInt(390);
            upgrade = random.nextInt(3) == 0;
            FakeEndpoint[] fakes = new FakeEndpoint[ENDPOINTS];
            for (int i = 0; i < fakes.length; i++) {
                fakes[i] = new FakeEndpoint(endpoints::answer);
            }
            fixture = new SidecarFixture(fakes);
            fixture.memoryMb = memoryMb;
            fixture.latencyObjectiveMs = 300 + random.nextInt(700);
            fixture.classDeadlineMs = MAX_CLASS_DEADLINE_MS;
            fixture.adminAddress = "127.0.0.1:0";
            fixture.discovery.script = SidecarFixture::answerPollWithoutChanges;
        }

        String log() {
            StringBuilder logs = new StringBuilder("memory " + memoryMb + " MB, " + hostileClients
                    + " hostile clients, upgrade " + upgrade + ", objective " + fixture.latencyObjectiveMs + " ms\n");
            processes.forEach(process -> logs.append(process.log()).append("----\n"));
            return logs.toString();
        }

        void play() throws Exception {
            processes.add(SidecarProcess.start(folder, fixture));
            address.set(processes.get(0).address());
            for (int i = 0; i < CLIENTS; i++) {
                SoakClient client =
                        new SoakClient("c" + i, address, endpoints, random.split(), violations, served, killNanos);
                clients.add(client);
                start(client);
            }
            for (int i = 0; i < hostileClients; i++) {
                SplittableRandom own = random.split();
                String name = "h" + i;
                start(() -> new HostileClient(name, address, endpoints, own, violations, () -> ending).run());
            }
            Thread.sleep(2000 + random.nextInt(2000));
            reloadInSeries(processes.get(0));
            Thread.sleep(1000 + random.nextInt(1500));
            if (upgrade) {
                startSuccessor();
            }
            SidecarProcess terminated = processes.get(0);
            requireAlive(terminated);
            killNanos.set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_DELAY_MS - CUT_BEFORE_KILL_MS));
            terminated.terminate();
            if (!terminated.awaitExit(KILL_DELAY_MS)) {
                terminated.kill();
            }
            end();
            requireExit(terminated);
            assertTrue(served.get() > 0, "nothing was served");
        }

        private void start(Runnable task) {
            Thread thread = new Thread(null, task, "soak", 128 * 1024);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }

        private void reloadInSeries(SidecarProcess process) throws Exception {
            for (int i = 0; i < 4; i++) {
                process.reload();
                Thread.sleep(random.nextInt(60));
            }
        }

        private void startSuccessor() throws Exception {
            fixture.listen = "127.0.0.1:" + address.get().getPort();
            processes.add(SidecarProcess.start(folder, fixture));
        }

        private void requireAlive(SidecarProcess process) throws IOException {
            if (!process.isAlive()) {
                violations.add("the process has ended by itself");
                return;
            }
            long peakBytes = process.peakMemoryBytes();
            if (peakBytes >= (long) memoryMb * MIB) {
                violations.add(peakBytes + " bytes of memory at the peak, limit " + memoryMb + " MB");
            }
            System.out.println("soak: " + peakBytes / MIB + " of " + memoryMb + " MB, " + hostileClients
                    + " hostile clients, " + served + " served");
        }

        private void requireExit(SidecarProcess process) {
            if (process.log().contains("exit with status") || process.log().contains("OutOfMemory")) {
                violations.add("the process ran into an error");
            }
        }

        private void end() throws InterruptedException {
            ending = true;
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
        }
    }
}
