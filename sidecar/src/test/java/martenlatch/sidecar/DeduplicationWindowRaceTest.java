package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Retries whose connection is established when the deduplication window has passed. */
@Timeout(60)
class DeduplicationWindowRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** A disconnect has to be noticed long before this, at which the request would be over anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /**
     * Guards against a repeat that is decided on in time and sent when the endpoints have forgotten the first
     * attempt: its connection comes up late.
     */
    @Test
    void aKeyedRepeatIsNotSentAfterItsWindow() throws Exception {
        try (ServerSocket place = DelayedAcceptEndpoint.listenWithShortBacklog()) {
            fixture = SidecarFixture.withEndpointAt("127.0.0.1:" + place.getLocalPort());
            fixture.connectTimeoutMs = 30_000;
            fixture.deduplicationWindowMs = 3000;
            fixture.start();
            long began = System.nanoTime();
            RawHttpClient client = fixture.client().send(fixture.request("move", DEADLINE_MS));
            RawHttpClient first = new RawHttpClient(place.accept());
            first.read();
            try (DelayedAcceptEndpoint late = new DelayedAcceptEndpoint(place)) {
                first.reset();
                RawHttpClient.Message answer = client.read();
                assertEquals(503, answer.status(), "every endpoint drops it when it is sent again in time");
                assertTrue(SidecarFixture.elapsedMs(began) >= 2500, "it was to be repeated within the window");
                assertTrue(SidecarFixture.elapsedMs(began) < NOTICED_MS, "given up is answered at once");
                late.startAccepting();
                assertEquals("late", fixture.sendRequest("order", DEADLINE_MS).body());
                assertEquals(
                        List.of("r1"),
                        late.requests.stream()
                                .map(request -> request.headers().get("x-request-id"))
                                .toList());
            }
            client.close();
        }
    }
}
