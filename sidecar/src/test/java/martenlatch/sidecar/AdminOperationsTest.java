package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The operators' address: endpoints out by hand, clients sent away, upgrades. */
@Timeout(60)
class AdminOperationsTest {

    private static final int DEADLINE_MS = 8000;
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    @TempDir
    Path shared;

    private final List<SidecarFixture> rigs = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (SidecarFixture fixture : rigs) {
            fixture.close();
        }
    }

    private SidecarFixture fixture(FakeEndpoint... endpoints) throws IOException {
        SidecarFixture fixture = new SidecarFixture(endpoints);
        fixture.admin = "127.0.0.1:0";
        fixture.shared = shared;
        rigs.add(fixture);
        return fixture;
    }

    private static FakeEndpoint good() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    private static String name(String id) {
        return "{\"name\":\"" + id + "\"}";
    }

    // ---- calls ----

    @Test
    void callsAreAnsweredByWhatTheyAsk() throws Exception {
        SidecarFixture fixture = fixture(good(), good()).start();
        assertEquals(200, fixture.operate("GET /ready", "").status());
        assertEquals(405, fixture.operate("POST /ready", "").status());
        assertEquals(405, fixture.operate("GET /drain", "").status());
        assertEquals(404, fixture.operate("POST /nothing", "").status());
        assertEquals(404, fixture.operate("POST /endpoints/disable", name("s9")).status());
        assertEquals(404, fixture.operate("POST /endpoints/enable", name("s9")).status());
        for (String body : List.of("", "{", "[]", "{}", "{\"name\":7}", "{\"name\":\"\"}", "\0")) {
            RawHttpClient.Message answer = fixture.operate("POST /endpoints/disable", body);
            assertEquals(400, answer.status(), body);
            assertTrue(answer.body().contains("{\\\"name\\\":\\\"ID\\\"}"), answer.body());
        }
        assertEquals(
                413,
                fixture.operate("POST /endpoints/disable", "x".repeat(5000)).status());
        RawHttpClient.Message out = fixture.operate("POST /endpoints/disable", name("s1"));
        assertEquals(200, out.status());
        assertEquals("{\"ready\":true,\"disabled\":[\"s1\"]}", out.body().strip());
        assertEquals("close", out.headers().get("connection"));
        assertEquals(
                "{\"ready\":true,\"disabled\":[]}",
                fixture.operate("POST /endpoints/enable", name("s1")).body().strip());
    }

    /** Guards against callers that say nothing, or half of a call, and keep everyone else out. */
    @Test
    void callersThatSayNothingKeepNobodyOut() throws Exception {
        SidecarFixture fixture = fixture(good()).start();
        List<RawHttpClient> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(RawHttpClient.connect(fixture.sidecar.adminAddress())
                    .send(i % 2 == 0 ? "" : "POST /drain HTTP/1.1\r\nHo"));
        }
        assertEquals(200, fixture.operate("GET /ready", "").status());
        assertThrows(EOFException.class, silent.get(0)::read, "the oldest make room for the newest, without a word");
        RawHttpClient.Message late = silent.get(59).read();
        assertEquals(408, late.status());
        for (RawHttpClient wire : silent) {
            wire.awaitClose();
        }
        assertEquals(200, fixture.operate("GET /ready", "").status(), "half a call has drained nothing");
    }

    @Test
    void itIsNotReadyWithNoEndpoint() throws Exception {
        assertEquals(503, fixture().start().operate("GET /ready", "").status());
    }

    /** Garbage from a peer is counted and changes nothing; how many peers there are stays. */
    @Test
    void whatIsBelievedOfPeersIsTold() throws Exception {
        assertEquals(404, fixture(good()).start().operate("GET /peers", "").status());
        try (DatagramSocket peer = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            peer.setSoTimeout(DEADLINE_MS);
            SidecarFixture fixture = fixture(good());
            fixture.peers = List.of("127.0.0.1:1", "127.0.0.1:" + peer.getLocalPort());
            fixture.start();
            DatagramPacket ping = new DatagramPacket(new byte[512], 512);
            peer.receive(ping);
            assertTrue(ping.getLength() <= 256 && ping.getData()[0] == 'M', "a message of ours");
            peer.send(new DatagramPacket(new byte[300], 300, ping.getSocketAddress()));
            SidecarFixture.await("it is counted", () -> peers(fixture).contains("malformed 1,"));
            assertTrue(peers(fixture).startsWith("{\"told\":2,\"at_least\":1,\"at_most\":2,"), peers(fixture));
            Files.writeString(fixture.configFile, fixture.config().replace("\"127.0.0.1:1\",", ""));
            fixture.sidecar.reload();
            SidecarFixture.await(
                    "the file is refused",
                    () -> fixture.logged()
                            .contains("configuration not reloaded: "
                                    + "field peers must keep its 2 addresses in service but has 1"));
        }
        SidecarFixture bad = fixture(good());
        bad.peers = List.of("here");
        assertEquals(
                "field peers[] is not usable: here",
                assertThrows(IllegalArgumentException.class, bad::start).getMessage());
    }

    private static String peers(SidecarFixture fixture) {
        try {
            return fixture.operate("GET /peers", "").body();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- endpoints out by hand ----

    /**
     * Guards against new work for an endpoint that is out, also when discovery lists it anew, and
     * restarted.
     */
    @Test
    void anEndpointThatIsOutGetsNothingUntilItIsPutBack() throws Exception {
        FakeEndpoint first = good();
        FakeEndpoint second = good();
        LinkedBlockingQueue<String> answers = new LinkedBlockingQueue<>();
        SidecarFixture fixture = fixture(first, second);
        fixture.pollIntervalMs = 20;
        fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 200, "", answers.take());
        fixture.start();
        assertEquals(200, fixture.operate("POST /endpoints/disable", name("s0")).status());
        int before = first.requests.size();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 5; i++) {
                assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            }
            answers.add(
                    round == 0
                            ? SidecarFixture.list(
                                    2,
                                    true,
                                    SidecarFixture.line(0, first.address(), "in_service", 0),
                                    SidecarFixture.line(1, second.address(), "in_service", 0))
                            : SidecarFixture.list(
                                    3, false, SidecarFixture.line(0, first.address(), "in_service", 1000)));
            int asked = round + 2;
            SidecarFixture.await("the list is there", () -> fixture.discovery.requests.size() >= asked);
        }
        assertEquals(before, first.requests.size());
        assertEquals(200, fixture.operate("POST /endpoints/enable", name("s0")).status());
        SidecarFixture.await("it is used again", () -> {
            try (RawHttpClient one = fixture.client();
                    RawHttpClient other = fixture.client()) {
                one.send(fixture.request("order", DEADLINE_MS));
                other.send(fixture.request("order", DEADLINE_MS));
                one.read();
                other.read();
                return first.requests.size() > before;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Guards against a ban that ends with the process, or that the other one of two does not hear of. */
    @Test
    void whatIsOutHoldsForEveryProcessOfTheSidecar() throws Exception {
        FakeEndpoint first = good();
        FakeEndpoint second = good();
        SidecarFixture old = fixture(first, second).start();
        assertEquals(200, old.operate("POST /endpoints/disable", name("s0")).status());
        SidecarFixture next = fixture(first, second).start();
        assertTrue(next.logged().contains("endpoints disabled before this start: [s0]"), next.logged());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, next.sendRequest("order", DEADLINE_MS).status());
        }
        assertEquals(0, first.requests.size());
        assertEquals(200, next.operate("POST /endpoints/disable", name("s1")).status());
        SidecarFixture.await(
                "the old one hears of it", () -> old.logged().contains("endpoints disabled by operators: [s0, s1]"));
        assertEquals(503, old.sendRequest("order", DEADLINE_MS).status(), "none is left");
        assertEquals(200, next.operate("POST /endpoints/enable", name("s0")).status());
        SidecarFixture.await("and of this", () -> old.logged().contains("endpoints disabled by operators: [s1]"));
        assertEquals(200, old.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, first.requests.size());
    }

    /** Guards against a yes for what a broken disk has not kept; the endpoint is out all the same. */
    @Test
    void whatCannotBeKeptIsToldAndHolds() throws Exception {
        SidecarFixture fixture = fixture(good(), good()).start();
        Files.delete(shared.resolve("martenlatch-n0").resolve(servingFile()));
        Files.delete(shared.resolve("martenlatch-n0"));
        RawHttpClient.Message answer = fixture.operate("POST /endpoints/disable", name("s0"));
        assertEquals(500, answer.status());
        assertTrue(answer.body().contains("could not be kept"), answer.body());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        }
        assertEquals(0, fixture.endpoints.get(0).requests.size());
    }

    private String servingFile() throws IOException {
        try (var files = Files.list(shared.resolve("martenlatch-n0"))) {
            return files.findFirst().orElseThrow().getFileName().toString();
        }
    }

    // ---- clients sent away ----

    /**
     * Guards against clients that stay when they are sent away, and a sidecar that does not take them back.
     */
    @Test
    void clientsAreSentAwayAndTakenBack() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        SidecarFixture fixture = fixture(new FakeEndpoint((wire, request) -> {
                    if (request.headers().get("x-request-id").equals("r0")) {
                        release.await();
                    }
                    FakeEndpoint.answer(wire, 200, "", "served");
                }))
                .start();
        RawHttpClient inHand = fixture.client().send(fixture.request("order", DEADLINE_MS));
        SidecarFixture.await("it is in hand", () -> fixture.attempts() == 1);
        RawHttpClient used = fixture.client();
        RawHttpClient idle = fixture.client();
        assertEquals(
                null,
                used.send(fixture.request("order", DEADLINE_MS))
                        .read()
                        .headers()
                        .get("connection"));
        assertEquals(
                200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());

        assertEquals(200, fixture.operate("POST /drain", "").status());
        long drained = System.nanoTime();
        assertEquals(503, fixture.operate("GET /ready", "").status());
        try (RawHttpClient asking = fixture.client()) {
            assertEquals(503, asking.send(READY).read().status());
        }
        RawHttpClient.Message last =
                used.send(fixture.request("order", DEADLINE_MS)).read();
        assertEquals(200, last.status(), "who is here is served");
        assertEquals("close", last.headers().get("connection"));
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status(), "and so is who comes last");
        idle.awaitClose();
        assertTrue((System.nanoTime() - drained) / 1e6 < 4000, "not only when it has been idle for 5 s");
        release.countDown();
        RawHttpClient.Message late = inHand.read();
        assertEquals(200, late.status());
        assertEquals("close", late.headers().get("connection"));

        assertEquals(200, fixture.operate("POST /undrain", "").status());
        assertEquals(200, fixture.operate("POST /drain", "").status());
        assertEquals(200, fixture.operate("POST /undrain", "").status());
        assertEquals(200, fixture.operate("GET /ready", "").status());
        try (RawHttpClient back = fixture.client()) {
            assertEquals(200, back.send(READY).read().status());
            RawHttpClient.Message served =
                    back.send(fixture.request("order", DEADLINE_MS)).read();
            assertEquals(null, served.headers().get("connection"));
            Thread.sleep(1200);
            RawHttpClient.Message later =
                    back.send(fixture.request("order", DEADLINE_MS)).read();
            assertEquals(null, later.headers().get("connection"), "what the drain had in mind is forgotten");
        }
    }

    /** Guards against a client cut off in the middle of its request, which is slow and does no wrong. */
    @Test
    void whoIsInTheMiddleOfAskingIsServedBeforeItGoes() throws Exception {
        SidecarFixture fixture = fixture(good()).start();
        try (RawHttpClient slow = fixture.client()) {
            String request = fixture.request("order", DEADLINE_MS);
            slow.send(request.substring(0, request.length() - 3));
            assertEquals(200, fixture.operate("POST /drain", "").status());
            // Longer than it takes until idle ones are let go, shorter than a body may pause.
            Thread.sleep(1300);
            RawHttpClient.Message answer =
                    slow.send(request.substring(request.length() - 3)).read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
        }
    }

    // ---- upgrades ----

    /** Guards against clients turned back while the old process leaves and the new one is there already. */
    @Test
    void theOldProcessLeavesNobodyAtTheDoor() throws Exception {
        FakeEndpoint endpoint = good();
        SidecarFixture old = fixture(endpoint).start();
        RawHttpClient kept = old.client();
        assertEquals(200, kept.send(old.request("order", DEADLINE_MS)).read().status());
        // The old loop is held while clients connect: they wait in its queue when it is told to leave.
        CountDownLatch hold = new CountDownLatch(1);
        old.sidecar.loop().execute(() -> {
            try {
                hold.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<RawHttpClient> waiting = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            waiting.add(old.client().send(old.request("order", DEADLINE_MS)));
        }
        SidecarFixture next = fixture(endpoint);
        next.listen = "127.0.0.1:" + old.sidecar.address().getPort();
        next.start();
        Thread drain = new Thread(old.sidecar::drain);
        drain.start();
        // It says so before its loop hears of it, and waits for its end only when the loop has.
        SidecarFixture.await("its loop is told to leave", () -> drain.getState() == Thread.State.TIMED_WAITING);
        hold.countDown();
        for (RawHttpClient wire : waiting) {
            RawHttpClient.Message answer = wire.read();
            assertTrue(answer.status() == 200 || answer.status() == 503, answer.startLine());
            assertEquals("close", answer.headers().get("connection"));
        }
        SidecarFixture.await("it sees its heir", () -> old.logged().contains("another process serves this address"));
        assertEquals(200, kept.send(READY).read().status(), "the address is served");
        for (int i = 0; i < 20; i++) {
            try (RawHttpClient wire = next.client()) {
                wire.send("GET /api?q=1 HTTP/1.1\r\nX-Request-Id: n" + i + "\r\nX-Class: read\r\n"
                        + "X-Deadline-Ms: 8000\r\nHost: x\r\n\r\n");
                assertEquals(200, wire.read().status());
            }
        }
        drain.join();
        assertFalse(old.logged().contains("drain timed out"), old.logged());
        assertThrows(IOException.class, () -> {
            kept.send(READY).read();
        });
    }

    /** Guards against a listener that closes early where nobody else listens. */
    @Test
    void withoutAnHeirTheDoorStaysOpenForAWhile() throws Exception {
        SidecarFixture fixture = fixture(good()).start();
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        SidecarFixture.await("it drains", () -> {
            try (RawHttpClient wire = fixture.client()) {
                return wire.send(READY).read().status() == 503;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        drain.join();
    }
}
