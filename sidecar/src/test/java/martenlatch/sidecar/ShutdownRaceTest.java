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

/** Requests and responses that cross the end of the process. */
@Timeout(60)
class ShutdownRaceTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /**
     * Guards against a request that is cut off because its last byte comes after the last call. A run in
     * which this machine took longer than the sidecar waits shows nothing and is made again.
     */
    @ParameterizedTest
    @ValueSource(ints = {5, 300_000, 1_300_000})
    void aRequestWhoseLastByteComesAfterTheLastCallIsAnswered(int bodySize) throws Exception {
        for (int i = 0; i < 10; i++) {
            fixture = new SidecarFixture(FakeEndpoint.serving()).start();
            RawHttpClient idle = fixture.client();
            assertEquals(
                    200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
            RawHttpClient half = fixture.client();
            assertEquals(
                    200, half.send(fixture.request("order", DEADLINE_MS)).read().status());
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            SidecarFixture.await("the listener is closed", () -> !accepts(fixture.sidecar.address()));
            // The head is broken off, or the body: one that is collected, one that is passed on as it comes.
            String request = fixture.request("order", DEADLINE_MS)
                    .replace(
                            "Content-Length: 5\r\n\r\nhello",
                            "Content-Length: " + bodySize + "\r\n\r\n" + "x".repeat(bodySize));
            int sent = bodySize == 5 ? 30 : request.length() - 10;
            half.send(request.substring(0, sent));
            // It has been read before the last call.
            assertEquals(
                    200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
            idle.awaitClose();
            long lastCall = System.nanoTime();
            try {
                half.send(request.substring(sent));
                double tookMs = SidecarFixture.elapsedMs(lastCall);
                if (tookMs < 100) {
                    RawHttpClient.Message answer = half.read();
                    assertEquals(200, answer.status());
                    assertEquals("close", answer.headers().get("connection"));
                    drain.join();
                    return;
                }
            } catch (SocketException e) {
                assertTrue(SidecarFixture.elapsedMs(lastCall) >= 100, "it was let go at once");
            }
            drain.join();
            fixture.close();
        }
        throw new AssertionError("this machine was too busy in each of ten runs");
    }

    /**
     * Guards against a process that is gone before its last answers are taken. As above, a run in which this
     * machine took too long shows nothing.
     */
    @Test
    void aProcessWaitsForItsLastAnswersToBeTaken() throws Exception {
        for (int i = 0; i < 10; i++) {
            CountDownLatch release = new CountDownLatch(1);
            fixture = new SidecarFixture(new FakeEndpoint((wire, request) -> {
                        release.await();
                        FakeEndpoint.answer(wire, 200, "", "served");
                    }))
                    .start();
            RawHttpClient idle = fixture.client();
            idle.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").read();
            RawHttpClient slow = fixture.client().send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> fixture.attempts() == 1);
            Thread drain = new Thread(fixture.sidecar::drain);
            drain.start();
            idle.awaitClose();
            long lastCall = System.nanoTime();
            release.countDown();
            // Longer than any other client is waited for.
            drain.join(450);
            boolean waits = drain.isAlive();
            double tookMs = SidecarFixture.elapsedMs(lastCall);
            assertEquals(200, slow.read().status());
            slow.close();
            drain.join();
            if (tookMs < 700) {
                assertTrue(waits, "it was gone before");
                assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
                return;
            }
            fixture.close();
        }
        throw new AssertionError("this machine was too busy in each of ten runs");
    }

    private static boolean accepts(InetSocketAddress address) {
        try (RawHttpClient wire = RawHttpClient.connect(address)) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
