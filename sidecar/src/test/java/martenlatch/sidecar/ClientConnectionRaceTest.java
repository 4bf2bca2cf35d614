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

/** Tests requests that arrive while others are in flight on their connection, or while connections are evicted. */
@Timeout(60)
class ClientConnectionRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** Time limit for detection, well below the deadline at which the requests time out anyway. */
    private static final double MAX_DETECTION_MS = DEADLINE_MS / 2.0;

    /** The minimum number of connections that a sidecar accepts, independent of its descriptor limit. */
    private static final int MIN_CONNECTIONS = 8;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against the loss or reordering of input that is buffered while eight pipelined requests are in flight. */
    @Test
    void bufferedRequestIsServedInOrder() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        FakeEndpoint.Script script = (connection, request) -> {
            release.await();
            FakeEndpoint.answer(connection, 200, "", request.headers().get("x-request-id"));
        };
        fixture = new SidecarFixture(new FakeEndpoint(script), new FakeEndpoint(script), new FakeEndpoint(script))
                .start();
        try (RawHttpClient client = fixture.client()) {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                pipelined.append(fixture.request("read", DEADLINE_MS));
            }
            client.send(pipelined.toString());
            SidecarFixture.await("eight requests are at the endpoints", () -> fixture.attempts() == 8);
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

    /** Guards against unlimited buffering for a pipelining client: input above the limit is processed as a request. */
    @Test
    void bufferedInputIsBounded() throws Exception {
        fixture = new SidecarFixture(new FakeEndpoint((connection, request) -> connection.awaitClose())).start();
        try (RawHttpClient client = fixture.client()) {
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < 8; i++) {
                pipelined.append(fixture.request("order", DEADLINE_MS));
            }
            client.send(pipelined.toString());
            SidecarFixture.await("some requests are at the endpoint", () -> fixture.attempts() > 0);
            long startNanos = System.nanoTime();
            client.send(fixture.request("order", DEADLINE_MS)
                    .replace(
                            "Content-Length: 5\r\n\r\nhello", "Content-Length: 1000000\r\n\r\n" + "x".repeat(900_000)));
            SidecarFixture.await(
                    "the input is processed as a request body, which has a limit",
                    () -> fixture.bodyBytesHeld() > 800_000);
            assertTrue(
                    SidecarFixture.elapsedMs(startNanos) < MAX_DETECTION_MS,
                    "processed before the eight requests time out");
        }
        fixture.awaitPending(0);
        SidecarFixture.await("the memory of the body is released", () -> fixture.bodyBytesHeld() == 0);
    }

    /** Guards against the eviction, in favour of a new connection, of one whose request has arrived but is unread. */
    @Test
    void evictionSparesConnectionWithUnreadRequest() throws Exception {
        fixture = new SidecarFixture(FakeEndpoint.answering(200, "", "served"));
        // So few descriptors that the minimum number of connections applies.
        fixture.sockets = 1;
        fixture.start();
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < MIN_CONNECTIONS; i++) {
            clients.add(fixture.client());
            assertEquals(
                    200,
                    clients.get(i)
                            .send(fixture.request("order", DEADLINE_MS))
                            .read()
                            .status());
        }
        // The event loop sees the new connection first, and the first client has been idle the longest.
        fixture.whileEventLoopBlocked(
                () -> clients.add(fixture.client()), () -> clients.get(0).send(fixture.request("order", DEADLINE_MS)));
        assertEquals(200, clients.get(0).read().status());
        clients.get(1).awaitClose();
        assertEquals(
                200,
                clients.get(MIN_CONNECTIONS)
                        .send(fixture.request("order", DEADLINE_MS))
                        .read()
                        .status());
        for (RawHttpClient client : clients) {
            client.close();
        }
    }
}
