package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests retries whose connection is established after the deduplication window has passed. */
@Timeout(60)
class DeduplicationWindowRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** The limit for noticing a disconnect, well before the deadline at which the request would end anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /**
     * Guards against a retry that is decided within the deduplication window but sent after it because its connection
     * is established late. The endpoints have then forgotten the first attempt and would execute the request again.
     */
    @Test
    void retryWithIdempotencyKeyIsNotSentAfterWindow() throws Exception {
        try (ServerSocket listener = DelayedAcceptEndpoint.listenWithShortBacklog()) {
            fixture = SidecarFixture.withEndpointAt("127.0.0.1:" + listener.getLocalPort());
            fixture.connectTimeoutMs = 30_000;
            fixture.deduplicationWindowMs = 3000;
            fixture.start();
            long startedNanos = System.nanoTime();
            RawHttpClient client = fixture.client().send(fixture.request("move", DEADLINE_MS));
            RawHttpClient firstConnection = new RawHttpClient(listener.accept());
            firstConnection.read();
            try (DelayedAcceptEndpoint delayedEndpoint = new DelayedAcceptEndpoint(listener)) {
                firstConnection.reset();
                RawHttpClient.Message response = client.read();
                assertEquals(503, response.status(), "no endpoint executes a retry within the window");
                assertTrue(SidecarFixture.elapsedMs(startedNanos) >= 2500, "the request is retried within the window");
                assertTrue(
                        SidecarFixture.elapsedMs(startedNanos) < NOTICED_MS,
                        "a request that is given up is answered without delay");
                delayedEndpoint.startAccepting();
                assertEquals("late", fixture.sendRequest("order", DEADLINE_MS).body());
                assertEquals(
                        List.of("r1"),
                        delayedEndpoint.requests.stream()
                                .map(request -> request.headers().get("x-request-id"))
                                .toList());
            }
            client.close();
        }
    }
}
