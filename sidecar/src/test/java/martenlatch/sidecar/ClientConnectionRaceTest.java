package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that arrive while others are in flight on their connection, or while it makes room for a new one. */
@Timeout(60)
class ClientConnectionRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** A disconnect has to be noticed long before this, at which the request would be over anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    /** What a sidecar accepts at least, however few descriptors it may hold. */
    private static final int LEAST_CONNECTIONS = 8;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against bytes held back while eight are in hand that are lost, or told in another order. */
    @Test
    void whatIsHeldBackIsServedInItsTurn() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeEndpoint.Script script = (wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", request.headers().get("x-request-id"));
        };
        fixture = new SidecarFixture(new FakeEndpoint(script), new FakeEndpoint(script), new FakeEndpoint(script))
                .start();
        try (RawHttpClient client = fixture.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                all.append(fixture.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("eight are at the endpoints", () -> fixture.attempts() == 8);
            String next = fixture.request("read", DEADLINE_MS);
            client.send(next.substring(0, 20));
            fixture.sidecar.loop().submit(() -> {}).get();
            client.send(next.substring(20));
            release.countDown();
            for (int i = 0; i < 9; i++) {
                assertEquals("r" + i, client.read().body());
            }
        }
        fixture.awaitPending(0);
    }

    /** Guards against memory without end for a client far ahead: beyond a bound its bytes are read on. */
    @Test
    void whatIsHeldBackIsBounded() throws Exception {
        fixture = new SidecarFixture(new FakeEndpoint((wire, request) -> wire.awaitClose())).start();
        try (RawHttpClient client = fixture.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                all.append(fixture.request("order", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("some are at the endpoint", () -> fixture.attempts() > 0);
            long began = System.nanoTime();
            client.send(fixture.request("order", DEADLINE_MS)
                    .replace(
                            "Content-Length: 5\r\n\r\nhello", "Content-Length: 1000000\r\n\r\n" + "x".repeat(900_000)));
            SidecarFixture.await(
                    "it is taken for the body that it is, which has a bound", () -> fixture.bodyBytesHeld() > 800_000);
            assertTrue(SidecarFixture.elapsedMs(began) < NOTICED_MS, "and not when the eight have timed out");
        }
        fixture.awaitPending(0);
        SidecarFixture.await("nothing of it is kept", () -> fixture.bodyBytesHeld() == 0);
    }

    /** Guards against room made for a newcomer by cutting off a request that is there and not read yet. */
    @Test
    void aRequestAndANewcomerWhoNeedsItsRoom() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served"));
        // So few that the least number of connections holds.
        fixture.sockets = 1;
        fixture.start();
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < LEAST_CONNECTIONS; i++) {
            clients.add(fixture.client());
            assertEquals(
                    200,
                    clients.get(i)
                            .send(fixture.request("order", DEADLINE_MS))
                            .read()
                            .status());
        }
        // The system tells of them in this order, and the first client has been idle the longest.
        fixture.whileEventLoopBlocked(
                () -> clients.add(fixture.client()), () -> clients.get(0).send(fixture.request("order", DEADLINE_MS)));
        assertEquals(200, clients.get(0).read().status());
        clients.get(1).awaitClose();
        assertEquals(
                200,
                clients.get(LEAST_CONNECTIONS)
                        .send(fixture.request("order", DEADLINE_MS))
                        .read()
                        .status());
        for (RawHttpClient client : clients) {
            client.close();
        }
    }
}
