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

/** Tests the admin API: disabling endpoints, draining clients, and upgrades. */
@Timeout(60)
class AdminOperationsTest {

    private static final int DEADLINE_MS = 8000;
    private static final String READY = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    @TempDir
    Path sharedFolder;

    private final List<SidecarFixture> fixtures = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (SidecarFixture fixture : fixtures) {
            fixture.close();
        }
    }

    private SidecarFixture fixture(FakeEndpoint... endpoints) throws IOException {
        SidecarFixture fixture = new SidecarFixture(endpoints);
        fixture.adminAddress = "127.0.0.1:0";
        fixture.sharedFolder = sharedFolder;
        fixtures.add(fixture);
        return fixture;
    }

    private static FakeEndpoint servingEndpoint() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    private static String nameBody(String id) {
        return "{\"name\":\"" + id + "\"}";
    }

    // ---- calls ----

    @Test
    void callsGetTheExpectedStatus() throws Exception {
        SidecarFixture fixture = fixture(servingEndpoint(), servingEndpoint()).start();
        assertEquals(200, fixture.callAdminApi("GET /ready", "").status());
        assertEquals(405, fixture.callAdminApi("POST /ready", "").status());
        assertEquals(405, fixture.callAdminApi("GET /drain", "").status());
        assertEquals(404, fixture.callAdminApi("POST /nothing", "").status());
        assertEquals(
                404,
                fixture.callAdminApi("POST /endpoints/disable", nameBody("s9")).status());
        assertEquals(
                404,
                fixture.callAdminApi("POST /endpoints/enable", nameBody("s9")).status());
        for (String body : List.of("", "{", "[]", "{}", "{\"name\":7}", "{\"name\":\"\"}", "\0")) {
            RawHttpClient.Message response = fixture.callAdminApi("POST /endpoints/disable", body);
            assertEquals(400, response.status(), body);
            assertTrue(response.body().contains("{\\\"name\\\":\\\"ID\\\"}"), response.body());
        }
        assertEquals(
                413,
                fixture.callAdminApi("POST /endpoints/disable", "x".repeat(5000))
                        .status());
        RawHttpClient.Message disabled = fixture.callAdminApi("POST /endpoints/disable", nameBody("s1"));
        assertEquals(200, disabled.status());
        assertEquals("{\"ready\":true,\"disabled\":[\"s1\"]}", disabled.body().strip());
        assertEquals("close", disabled.headers().get("connection"));
        assertEquals(
                "{\"ready\":true,\"disabled\":[]}",
                fixture.callAdminApi("POST /endpoints/enable", nameBody("s1"))
                        .body()
                        .strip());
    }

    /** Guards against callers that send nothing, or a partial call, and block everyone else. */
    @Test
    void silentCallersDoNotBlockOthers() throws Exception {
        SidecarFixture fixture = fixture(servingEndpoint()).start();
        List<RawHttpClient> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(RawHttpClient.connect(fixture.sidecar.adminAddress())
                    .send(i % 2 == 0 ? "" : "POST /drain HTTP/1.1\r\nHo"));
        }
        assertEquals(200, fixture.callAdminApi("GET /ready", "").status());
        assertThrows(
                EOFException.class,
                silent.get(0)::read,
                "the oldest connections are closed without a response to make room for new ones");
        RawHttpClient.Message lateResponse = silent.get(59).read();
        assertEquals(408, lateResponse.status());
        for (RawHttpClient connection : silent) {
            connection.awaitClose();
        }
        assertEquals(200, fixture.callAdminApi("GET /ready", "").status(), "a partial call has no effect");
    }

    @Test
    void sidecarWithoutEndpointsIsNotReady() throws Exception {
        assertEquals(503, fixture().start().callAdminApi("GET /ready", "").status());
    }

    /** A malformed message of a peer is counted and ignored; a reload cannot change the number of peers. */
    @Test
    void membershipViewIsReported() throws Exception {
        assertEquals(
                404,
                fixture(servingEndpoint())
                        .start()
                        .callAdminApi("GET /peers", "")
                        .status());
        try (DatagramSocket peer = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            peer.setSoTimeout(DEADLINE_MS);
            SidecarFixture fixture = fixture(servingEndpoint());
            fixture.peers = List.of("127.0.0.1:1", "127.0.0.1:" + peer.getLocalPort());
            fixture.start();
            DatagramPacket ping = new DatagramPacket(new byte[512], 512);
            peer.receive(ping);
            assertTrue(ping.getLength() <= 256 && ping.getData()[0] == 'M', "the datagram is a gossip message");
            peer.send(new DatagramPacket(new byte[300], 300, ping.getSocketAddress()));
            SidecarFixture.await(
                    "the malformed message is counted", () -> peers(fixture).contains("malformed 1,"));
            assertTrue(peers(fixture).startsWith("{\"told\":2,\"at_least\":1,\"at_most\":2,"), peers(fixture));
            Files.writeString(fixture.configFile, fixture.config().replace("\"127.0.0.1:1\",", ""));
            fixture.sidecar.reload();
            SidecarFixture.await(
                    "the configuration is rejected",
                    () -> fixture.logged()
                            .contains("configuration not reloaded: "
                                    + "field peers must keep its 2 addresses in service but has 1"));
        }
        SidecarFixture misconfigured = fixture(servingEndpoint());
        misconfigured.peers = List.of("here");
        assertEquals(
                "field peers[] is not usable: here",
                assertThrows(IllegalArgumentException.class, misconfigured::start)
                        .getMessage());
    }

    private static String peers(SidecarFixture fixture) {
        try {
            return fixture.callAdminApi("GET /peers", "").body();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    // ---- disabled endpoints ----

    /**
     * Guards against an attempt that reaches a disabled endpoint long after the operator's call, because its connection
     * was established late (review/stand/DisabledEndpoint). It was never executed, so that it may be rejected.
     */
    @Test
    void attemptWaitingForConnectionIsWithdrawnFromDisabledEndpoint() throws Exception {
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint()) {
            SidecarFixture fixture = SidecarFixture.withEndpointAt(late.address());
            fixtures.add(fixture);
            fixture.adminAddress = "127.0.0.1:0";
            fixture.sharedFolder = sharedFolder;
            fixture.connectTimeoutMs = 30_000;
            fixture.start();
            RawHttpClient client = fixture.client().send(fixture.request("order", DEADLINE_MS));
            fixture.awaitPending(1);
            assertEquals(
                    200,
                    fixture.callAdminApi("POST /endpoints/disable", nameBody("s0"))
                            .status());
            late.startAccepting();
            assertEquals(503, client.read().status());
            client.close();
            SidecarFixture.await("the connection has ended", () -> late.endedConnections.get() > 0);
            assertEquals(List.of(), late.requests);
        }
    }

    /** Guards against requests to a disabled endpoint, even if discovery lists it again or as restarted. */
    @Test
    void disabledEndpointGetsNoRequestsUntilEnabled() throws Exception {
        FakeEndpoint first = servingEndpoint();
        FakeEndpoint second = servingEndpoint();
        LinkedBlockingQueue<String> responses = new LinkedBlockingQueue<>();
        SidecarFixture fixture = fixture(first, second);
        fixture.pollIntervalMs = 20;
        fixture.discovery.script = (connection, request) -> FakeEndpoint.answer(connection, 200, "", responses.take());
        fixture.start();
        assertEquals(
                200,
                fixture.callAdminApi("POST /endpoints/disable", nameBody("s0")).status());
        int before = first.requests.size();
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 5; i++) {
                assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            }
            responses.add(
                    round == 0
                            ? SidecarFixture.list(
                                    2,
                                    true,
                                    SidecarFixture.line(0, first.address(), "in_service", 0),
                                    SidecarFixture.line(1, second.address(), "in_service", 0))
                            : SidecarFixture.list(
                                    3, false, SidecarFixture.line(0, first.address(), "in_service", 1000)));
            int expectedPolls = round + 2;
            SidecarFixture.await(
                    "the sidecar has received the list", () -> fixture.discovery.requests.size() >= expectedPolls);
        }
        assertEquals(before, first.requests.size());
        assertEquals(
                200,
                fixture.callAdminApi("POST /endpoints/enable", nameBody("s0")).status());
        SidecarFixture.await("the endpoint is used again", () -> {
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

    /**
     * Guards against a disabled endpoint that is forgotten on a restart, or not known to the other of two processes.
     */
    @Test
    void disabledEndpointsApplyToAllProcessesOfTheSidecar() throws Exception {
        FakeEndpoint first = servingEndpoint();
        FakeEndpoint second = servingEndpoint();
        SidecarFixture predecessor = fixture(first, second);
        predecessor.requestIdPrefix = "p";
        predecessor.start();
        assertEquals(
                200,
                predecessor
                        .callAdminApi("POST /endpoints/disable", nameBody("s0"))
                        .status());
        SidecarFixture successor = fixture(first, second).start();
        assertTrue(successor.logged().contains("endpoints disabled before this start: [s0]"), successor.logged());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, successor.sendRequest("order", DEADLINE_MS).status());
        }
        assertEquals(0, first.requests.size());
        assertEquals(
                200,
                successor
                        .callAdminApi("POST /endpoints/disable", nameBody("s1"))
                        .status());
        SidecarFixture.await(
                "the old process disables both endpoints",
                () -> predecessor.logged().contains("endpoints disabled by operators: [s0, s1]"));
        assertEquals(503, predecessor.sendRequest("order", DEADLINE_MS).status(), "no endpoint is left");
        assertEquals(
                200,
                successor.callAdminApi("POST /endpoints/enable", nameBody("s0")).status());
        SidecarFixture.await(
                "the old process enables the endpoint again",
                () -> predecessor.logged().contains("endpoints disabled by operators: [s1]"));
        assertEquals(200, predecessor.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, first.requests.size());
    }

    /**
     * Guards against reporting success for a change that could not be stored; the endpoint is disabled all the same.
     */
    @Test
    void changeThatCannotBeStoredIsReportedAndStaysInEffect() throws Exception {
        SidecarFixture fixture = fixture(servingEndpoint(), servingEndpoint()).start();
        Files.delete(sharedFolder.resolve("martenlatch-n0").resolve(servingFile()));
        Files.delete(sharedFolder.resolve("martenlatch-n0"));
        RawHttpClient.Message response = fixture.callAdminApi("POST /endpoints/disable", nameBody("s0"));
        assertEquals(500, response.status());
        assertTrue(response.body().contains("could not be kept"), response.body());
        for (int i = 0; i < 5; i++) {
            assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        }
        assertEquals(0, fixture.endpoints.get(0).requests.size());
    }

    private String servingFile() throws IOException {
        try (var files = Files.list(sharedFolder.resolve("martenlatch-n0"))) {
            return files.findFirst().orElseThrow().getFileName().toString();
        }
    }

    // ---- draining clients ----

    /** Guards against clients that keep their connections during a drain, and a sidecar that does not undo a drain. */
    @Test
    void drainClosesClientConnectionsUntilUndone() throws Exception {
        CountDownLatch releaseResponse = new CountDownLatch(1);
        SidecarFixture fixture = fixture(new FakeEndpoint((connection, request) -> {
                    if (request.headers().get("x-request-id").equals("r0")) {
                        releaseResponse.await();
                    }
                    FakeEndpoint.answer(connection, 200, "", "served");
                }))
                .start();
        RawHttpClient inFlight = fixture.client().send(fixture.request("order", DEADLINE_MS));
        SidecarFixture.await("the request is at the endpoint", () -> fixture.attempts() == 1);
        RawHttpClient active = fixture.client();
        RawHttpClient idle = fixture.client();
        assertEquals(
                null,
                active.send(fixture.request("order", DEADLINE_MS))
                        .read()
                        .headers()
                        .get("connection"));
        assertEquals(
                200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());

        assertEquals(200, fixture.callAdminApi("POST /drain", "").status());
        long drainStartNanos = System.nanoTime();
        assertEquals(503, fixture.callAdminApi("GET /ready", "").status());
        try (RawHttpClient healthCheck = fixture.client()) {
            assertEquals(503, healthCheck.send(READY).read().status());
        }
        RawHttpClient.Message lastResponse =
                active.send(fixture.request("order", DEADLINE_MS)).read();
        assertEquals(200, lastResponse.status(), "a connected client is served");
        assertEquals("close", lastResponse.headers().get("connection"));
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status(), "a client that connects late is served");
        idle.awaitClose();
        assertTrue(
                (System.nanoTime() - drainStartNanos) / 1e6 < 4000,
                "the idle connection is closed earlier than after 5 s");
        releaseResponse.countDown();
        RawHttpClient.Message lateResponse = inFlight.read();
        assertEquals(200, lateResponse.status());
        assertEquals("close", lateResponse.headers().get("connection"));

        assertEquals(200, fixture.callAdminApi("POST /undrain", "").status());
        assertEquals(200, fixture.callAdminApi("POST /drain", "").status());
        assertEquals(200, fixture.callAdminApi("POST /undrain", "").status());
        assertEquals(200, fixture.callAdminApi("GET /ready", "").status());
        try (RawHttpClient newClient = fixture.client()) {
            assertEquals(200, newClient.send(READY).read().status());
            RawHttpClient.Message newResponse =
                    newClient.send(fixture.request("order", DEADLINE_MS)).read();
            assertEquals(null, newResponse.headers().get("connection"));
            Thread.sleep(1200);
            RawHttpClient.Message laterResponse =
                    newClient.send(fixture.request("order", DEADLINE_MS)).read();
            assertEquals(
                    null, laterResponse.headers().get("connection"), "the timer of the undone drain has no effect");
        }
    }

    /** Guards against cutting off a slow client in the middle of its request. */
    @Test
    void partialRequestIsServedDuringDrain() throws Exception {
        SidecarFixture fixture = fixture(servingEndpoint()).start();
        try (RawHttpClient slow = fixture.client()) {
            String request = fixture.request("order", DEADLINE_MS);
            slow.send(request.substring(0, request.length() - 3));
            assertEquals(200, fixture.callAdminApi("POST /drain", "").status());
            // Longer than the time until idle connections close, and shorter than the allowed pause within a body.
            Thread.sleep(1300);
            RawHttpClient.Message response =
                    slow.send(request.substring(request.length() - 3)).read();
            assertEquals(200, response.status());
            assertEquals("close", response.headers().get("connection"));
        }
    }

    // ---- upgrades ----

    /** Guards against clients that are rejected while the old process hands over to the new one. */
    @Test
    void handoverServesQueuedConnections() throws Exception {
        FakeEndpoint endpoint = servingEndpoint();
        SidecarFixture predecessor = fixture(endpoint).start();
        RawHttpClient keptAlive = predecessor.client();
        assertEquals(
                200,
                keptAlive.send(predecessor.request("order", DEADLINE_MS)).read().status());
        // The old event loop is blocked while clients connect, so they are in its accept queue when the drain begins.
        CountDownLatch releaseLoop = new CountDownLatch(1);
        predecessor.sidecar.loop().execute(() -> {
            try {
                releaseLoop.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        List<RawHttpClient> queued = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            queued.add(predecessor.client().send(predecessor.request("order", DEADLINE_MS)));
        }
        SidecarFixture successor = fixture(endpoint);
        successor.listen = "127.0.0.1:" + predecessor.sidecar.address().getPort();
        successor.start();
        Thread drain = new Thread(predecessor.sidecar::drain);
        drain.start();
        // The drain thread waits only after it has handed the drain to the event loop; its log line comes earlier.
        SidecarFixture.await(
                "the drain is handed to the event loop", () -> drain.getState() == Thread.State.TIMED_WAITING);
        releaseLoop.countDown();
        for (RawHttpClient connection : queued) {
            RawHttpClient.Message response = connection.read();
            assertTrue(response.status() == 200 || response.status() == 503, response.startLine());
            assertEquals("close", response.headers().get("connection"));
        }
        SidecarFixture.await(
                "the old process sees its successor",
                () -> predecessor.logged().contains("another process serves this address"));
        assertEquals(
                200, keptAlive.send(READY).read().status(), "the readiness check succeeds, as the address is served");
        for (int i = 0; i < 20; i++) {
            try (RawHttpClient connection = successor.client()) {
                connection.send("GET /api?q=1 HTTP/1.1\r\nX-Request-Id: n" + i + "\r\nX-Class: read\r\n"
                        + "X-Deadline-Ms: 8000\r\nHost: x\r\n\r\n");
                assertEquals(200, connection.read().status());
            }
        }
        drain.join();
        assertFalse(predecessor.logged().contains("drain timed out"), predecessor.logged());
        assertThrows(IOException.class, () -> {
            keptAlive.send(READY).read();
        });
    }

    /** Guards against a listener that closes early although no other process listens. */
    @Test
    void listenerStaysOpenForAWhileWithoutSuccessor() throws Exception {
        SidecarFixture fixture = fixture(servingEndpoint()).start();
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        SidecarFixture.await("the sidecar drains", () -> {
            try (RawHttpClient connection = fixture.client()) {
                return connection.send(READY).read().status() == 503;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        drain.join();
    }
}
