package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import martenlatch.discovery.EndpointListGate;

/** A sidecar before fake endpoints, with a fake discovery; all on loopback. */
final class SidecarFixture implements Closeable {

    static final long AWAIT_TIMEOUT_MS = 20_000;

    final List<FakeEndpoint> endpoints = new ArrayList<>();
    final FakeEndpoint discovery;
    final ByteArrayOutputStream log = new ByteArrayOutputStream();
    Path configFile;
    Sidecar sidecar;
    int idleCloseMs = 15_000;
    int pollIntervalMs = 600_000;
    int sockets = 1024;
    int latencyObjectiveMs = 9000;
    int connectTimeoutMs = 2000;
    /** For so long endpoints drop repeats of the class "move". */
    int deduplicationWindowMs = 9000;

    boolean cancel = true;
    String membership = "on_request";
    /** Where the sidecar looks for discovery; the fake one above where the test says none. */
    String discoveryAddress;
    /** Most tests have a discovery that never answers; those on the wait for a current list set it. */
    long maxListWaitMs = 0;
    /** Where lists are pushed, the time after which a start goes on without its agent. */
    long maxAgentWaitMs = EndpointListGate.DEFAULT_MAX_WAIT_MS;
    /** The folder that outlives the sidecar, and where it takes operators' calls; none at first. */
    Path shared;

    String admin;
    String listen = "127.0.0.1:0";
    /** The sidecars' addresses by number, this one's first; none where it is alone. */
    List<String> peers = List.of();
    /** The list in the configuration's file; the endpoints above where the test says none. */
    List<String> known;

    private int requests;

    SidecarFixture(FakeEndpoint... endpoints) throws IOException {
        this.endpoints.addAll(List.of(endpoints));
        // Discovery holds its answer back until the test has one.
        discovery = new FakeEndpoint((wire, request) -> wire.awaitClose());
    }

    /** A fixture with one endpoint in its list, at an address of the test's. */
    static SidecarFixture withEndpointAt(String address) throws IOException {
        SidecarFixture fixture = new SidecarFixture(FakeEndpoint.listeningOnly());
        fixture.known = List.of(line(0, address, "in_service", 0));
        return fixture;
    }

    /** Starts a sidecar before one place, whose connections the test accepts itself. */
    static SidecarFixture startedBefore(ServerSocket place, boolean cancel) throws IOException {
        SidecarFixture fixture = withEndpointAt("127.0.0.1:" + place.getLocalPort());
        fixture.cancel = cancel;
        fixture.connectTimeoutMs = 30_000;
        return fixture.start();
    }

    /** Starts a sidecar before one endpoint for each script. */
    static SidecarFixture startedWith(FakeEndpoint.Script... scripts) throws IOException {
        FakeEndpoint[] endpoints = new FakeEndpoint[scripts.length];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = new FakeEndpoint(scripts[i]);
        }
        return new SidecarFixture(endpoints).start();
    }

    static String line(int number, String address, String state, long startedMs) {
        return "{\"id\":\"s" + number + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                + "\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    static String list(int version, boolean full, String... lines) {
        return "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[" + String.join(",", lines) + "]}";
    }

    String config() {
        List<String> lines = new ArrayList<>(known == null ? List.of() : known);
        for (int i = 0; known == null && i < endpoints.size(); i++) {
            lines.add(line(i, endpoints.get(i).address(), "in_service", 0));
        }
        return """
            {"name":"n0","listen":"%s",%s"discovery":"%s","seed":"8c1f30d27a5be964",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
            "settings":{"azs":["a"],"models":["m"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
            "membership-mode":"%s","classes":[
            {"name":"read","effect":"repeatable","group":"all","hard-limit-ms":9000,"slo-ms":%d,"worth":1},
            {"name":"order","effect":"once","group":"all","hard-limit-ms":9000,"slo-ms":%d,"worth":1},
            {"name":"move","effect":"by_key","group":"all","memory-span-ms":%d,"hard-limit-ms":9000,
            "slo-ms":%d,"worth":1}],
            "limits":{"cancel":%b,"dial-timeout-ms":%d,"idle-close-ms":%d,"max-retry-after-ms":2000,
            "parallel-tries":true,"retry-after":false,"try-limit":3},
            "rules":{"cold-share":0.5,"cold-ms":1000,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":500,
            "ask-within-ms":%d}}}""".formatted(
                        listen,
                        (admin == null ? "" : "\"admin\":\"" + admin + "\",")
                                + (peers.isEmpty()
                                        ? ""
                                        : "\"peer_listen\":\"127.0.0.1:0\",\"peers\":[\"" + String.join("\",\"", peers)
                                                + "\"],"),
                        discoveryAddress == null ? discovery.address() : discoveryAddress,
                        sockets,
                        list(1, true, lines.toArray(String[]::new)),
                        membership,
                        latencyObjectiveMs,
                        latencyObjectiveMs,
                        deduplicationWindowMs,
                        latencyObjectiveMs,
                        cancel,
                        connectTimeoutMs,
                        idleCloseMs,
                        pollIntervalMs);
    }

    SidecarFixture start() throws IOException {
        configFile = Files.writeString(Files.createTempFile("config", ".json"), config());
        sidecar = Sidecar.start(
                new StartOptions(
                        configFile,
                        shared,
                        !peers.isEmpty(),
                        membership.equals("pushed") ? maxAgentWaitMs : maxListWaitMs),
                new PrintStream(log, true, StandardCharsets.UTF_8));
        return this;
    }

    RawHttpClient client() throws IOException {
        return RawHttpClient.connect(sidecar.address());
    }

    /** A request of a class, GET for one that may be repeated and else POST with a body. */
    String request(String kind, int deadlineMs) {
        String head = "X-Request-Id: r" + requests++ + "\r\nX-Class: " + kind + "\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\nHost: app.svc\r\n";
        return kind.equals("read")
                ? "GET /api?q=1 HTTP/1.1\r\n" + head + "\r\n"
                : "POST /api?q=1 HTTP/1.1\r\n" + head + "Idempotency-Key: k1\r\nContent-Length: 5\r\n\r\nhello";
    }

    RawHttpClient.Message sendRequest(String kind, int deadlineMs) throws IOException {
        try (RawHttpClient wire = client()) {
            return wire.send(request(kind, deadlineMs)).read();
        }
    }

    /** Lets a connection to an endpoint, on which an answer has come, stand for as long as it must. */
    static void awaitReuseDelay() throws InterruptedException {
        Thread.sleep(15);
    }

    /** A call of an operator's; answers are {@code {"..."}} with a status. */
    RawHttpClient.Message operate(String call, String body) throws IOException {
        try (RawHttpClient wire = RawHttpClient.connect(sidecar.adminAddress())) {
            return wire.send(call + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .read();
        }
    }

    /** What its tables hold, told on its own thread: open requests and known endpoints. */
    List<Integer> tableSizes() {
        try {
            return sidecar.loop().submit(sidecar::tableSizes).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** What collected bodies hold, in bytes. */
    long bodyBytesHeld() {
        try {
            return sidecar.loop().submit(sidecar::bodyBytesHeld).get();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Waits until so many requests are pending. */
    void awaitPending(int requestCount) throws InterruptedException {
        await(requestCount + " requests are pending", () -> tableSizes().get(0) == requestCount);
    }

    /** As above, and within a time in which the requests would not time out. */
    void awaitPending(int requestCount, double withinMs) throws InterruptedException {
        long startedNanos = System.nanoTime();
        awaitPending(requestCount);
        assertTrue(elapsedMs(startedNanos) < withinMs, "and not when they have timed out");
    }

    static double elapsedMs(long sinceNanos) {
        return (System.nanoTime() - sinceNanos) / 1e6;
    }

    /** What a test does while the sidecar hears nothing. */
    interface Action {
        void run() throws Exception;
    }

    /** Does all of this in one turn of the sidecar's loop, which is held up meanwhile. */
    void whileEventLoopBlocked(Action... deeds) throws Exception {
        // The system tells first of what it has told before, until it has found that quiet: by two turns.
        tableSizes();
        tableSizes();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        sidecar.loop().execute(() -> {
            held.countDown();
            await(release);
        });
        await(held);
        try {
            for (Action deed : deeds) {
                deed.run();
            }
        } finally {
            release.countDown();
        }
    }

    static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    int attempts() {
        return endpoints.stream().mapToInt(endpoint -> endpoint.requests.size()).sum();
    }

    String logged() {
        return log.toString(StandardCharsets.UTF_8);
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + AWAIT_TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    @Override
    public void close() throws IOException {
        if (sidecar != null) {
            sidecar.stop();
            Files.delete(configFile);
        }
        for (FakeEndpoint endpoint : endpoints) {
            endpoint.close();
        }
        discovery.close();
    }
}
