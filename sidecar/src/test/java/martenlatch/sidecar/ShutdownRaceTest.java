package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests requests and responses that race with the end of the process. */
@Timeout(60)
class ShutdownRaceTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /**
     * Guards against cutting off a request whose last byte arrives after idle connections have been closed. A run in
     * which the machine took longer than the sidecar waits is inconclusive and is repeated.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 300_000, 1_300_000})
    void requestCompletedAfterIdleConnectionsCloseIsAnswered(int bodySize) throws Exception {
        for (int i = 0; i < 10; i++) {
            fixture = new SidecarFixture(FakeEndpoint.serving()).start();
            RawHttpClient idle = fixture.client();
            assertEquals(
                    200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
            RawHttpClient partial = fixture.client();
            assertEquals(
                    200,
                    partial.send(fixture.request("order", DEADLINE_MS)).read().status());
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            SidecarFixture.await("the listener is closed", () -> !accepts(fixture.sidecar.address()));
            // The request is interrupted within its headers, or within a body that is buffered or streamed.
            String request = fixture.request("order", DEADLINE_MS)
                    .replace(
                            "Content-Length: 5\r\n\r\nhello",
                            "Content-Length: " + bodySize + "\r\n\r\n" + "x".repeat(bodySize));
            int sentLength = bodySize == 5 ? 30 : request.length() - 10;
            partial.send(request.substring(0, sentLength));
            // A response on the other connection shows that the partial request was read before idle connections close.
            assertEquals(
                    200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
            idle.awaitClose();
            long idleClosedNanos = System.nanoTime();
            try {
                partial.send(request.substring(sentLength));
                double tookMs = SidecarFixture.elapsedMs(idleClosedNanos);
                if (tookMs < 100) {
                    RawHttpClient.Message response = partial.read();
                    assertEquals(200, response.status());
                    assertEquals("close", response.headers().get("connection"));
                    drain.join();
                    return;
                }
            } catch (SocketException e) {
                assertTrue(SidecarFixture.elapsedMs(idleClosedNanos) >= 100, "the connection was closed too early");
            }
            drain.join();
            fixture.close();
        }
        throw new AssertionError("the machine was too busy in each of ten runs");
    }

    /**
     * Guards against a process that exits before clients have read their last responses. As above, a run in which the
     * machine took too long is inconclusive and is repeated.
     */
    @Test
    void shutdownWaitsUntilLastResponsesAreRead() throws Exception {
        for (int i = 0; i < 10; i++) {
            CountDownLatch responseReleased = new CountDownLatch(1);
            fixture = new SidecarFixture(new FakeEndpoint((connection, request) -> {
                        responseReleased.await();
                        FakeEndpoint.answer(connection, 200, "", "served");
                    }))
                    .start();
            RawHttpClient idle = fixture.client();
            idle.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").read();
            RawHttpClient slow = fixture.client().send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is at the endpoint", () -> fixture.attempts() == 1);
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            idle.awaitClose();
            long idleClosedNanos = System.nanoTime();
            responseReleased.countDown();
            // Longer than the sidecar waits for any other client.
            drain.join(450);
            boolean waiting = drain.isAlive();
            double tookMs = SidecarFixture.elapsedMs(idleClosedNanos);
            assertEquals(200, slow.read().status());
            slow.close();
            drain.join();
            if (tookMs < 700) {
                assertTrue(waiting, "the process did not wait for the response to be read");
                assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
                return;
            }
            fixture.close();
        }
        throw new AssertionError("the machine was too busy in each of ten runs");
    }

    private static boolean accepts(InetSocketAddress address) {
        try (RawHttpClient connection = RawHttpClient.connect(address)) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
