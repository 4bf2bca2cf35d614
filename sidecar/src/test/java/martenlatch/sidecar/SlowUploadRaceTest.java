package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests uploads that the sidecar has stopped reading, as the endpoint reads slowly or is not connected yet. */
@Timeout(60)
class SlowUploadRaceTest {

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static String head(int length, int deadlineMs) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: u1\r\nX-Class: order\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\nContent-Length: " + length + "\r\n";
    }

    /** Guards against a deadline that starts when the sidecar reads the last byte, long after the client wrote it. */
    @ParameterizedTest
    @CsvSource({"900000, 200", "2000000, 200", "8000000, 200", "4000000, 60", "4000000, 25", "5000000, 25"})
    void finalAnswerIsInTimeIfTheEndpointReadsSlowly(int length, int pauseMs) throws Exception {
        int deadlineMs = 2500;
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), pauseMs)) {
            // With a small buffer the endpoint's system reads no faster than the endpoint itself.
            endpoint.fakeEndpoint().listener.setReceiveBufferSize(32 * 1024);
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                LongBodies.write(client, head(length, deadlineMs), LongBodies.bytes(1, length));
                long writtenNanos = System.nanoTime();
                client.read();
                double elapsedMs = SidecarFixture.elapsedMs(writtenNanos);
                assertTrue(elapsedMs < deadlineMs + 500, "answered " + elapsedMs + " ms after the last byte");
            }
        }
    }

    /** Guards against a request that is sent although its client closed the connection behind unread bytes. */
    @Test
    void uploadIsNotSentIfClientLeavesBehindUnreadBytes() throws Exception {
        int length = 1_200_000;
        try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint()) {
            fixture = SidecarFixture.withEndpointAt(late.address());
            fixture.connectTimeoutMs = 30_000;
            fixture.start();
            RawHttpClient client = fixture.client();
            LongBodies.write(client, head(length, 8000), LongBodies.bytes(2, length));
            fixture.awaitPending(1);
            client.close();
            // Longer than the 100 ms within which an attempt may still begin.
            Thread.sleep(200);
            late.startAccepting();
            fixture.awaitPending(0);
            SidecarFixture.await("the connection has ended", () -> late.endedConnections.get() > 0);
            assertEquals(0, late.requests.size());
        }
    }
}
