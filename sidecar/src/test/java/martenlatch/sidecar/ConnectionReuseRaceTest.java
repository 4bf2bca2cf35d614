package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests responses that arrive in the same turn of the event loop as their time-out or a connection reset. */
@Timeout(60)
class ConnectionReuseRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** The limit for noticing a disconnect, well before the deadline at which the request would end anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    private static final int SHORT_DEADLINE_MS = 3000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Starts a sidecar with one endpoint. The test accepts its connections itself. */
    private ServerSocket startWithEndpoint(ServerSocket listener, boolean cancel) throws IOException {
        fixture = SidecarFixture.startedBefore(listener, cancel);
        return listener;
    }

    /** A response that has arrived at the deadline but is not read yet counts as in time. */
    @Test
    void responseAtDeadlineIsForwardedOnce() throws Exception {
        try (ServerSocket listener = startWithEndpoint(DelayedAcceptEndpoint.listenWithShortBacklog(), true);
                RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", SHORT_DEADLINE_MS));
            RawHttpClient endpointConnection = new RawHttpClient(listener.accept());
            endpointConnection.read();
            long deadlineNanos = System.nanoTime() + SHORT_DEADLINE_MS * 1_000_000L;
            fixture.whileEventLoopBlocked(() -> FakeEndpoint.answer(endpointConnection, 200, "", "first"), () -> {
                while (System.nanoTime() < deadlineNanos) {
                    Thread.onSpinWait();
                }
            });
            assertEquals("first", client.read().body());
            fixture.awaitPending(0, NOTICED_MS);
            SidecarFixture.awaitReuseDelay();
            // The time-out leaves no effect on the client's connection or on the endpoint's connection.
            client.send(fixture.request("order", DEADLINE_MS));
            endpointConnection.read();
            FakeEndpoint.answer(endpointConnection, 200, "", "second");
            assertEquals("second", client.read().body());
        }
    }

    /** A complete response is forwarded even if its connection is reset; an incomplete one is not. */
    @ParameterizedTest
    @ValueSource(strings = {"whole", "half"})
    void onlyCompleteResponseSurvivesReset(String responsePart) throws Exception {
        try (ServerSocket listener = startWithEndpoint(DelayedAcceptEndpoint.listenWithShortBacklog(), true);
                RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            RawHttpClient endpointConnection = new RawHttpClient(listener.accept());
            endpointConnection.read();
            fixture.whileEventLoopBlocked(
                    () -> endpointConnection.send("HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\n"
                            + (responsePart.equals("whole") ? "first" : "fir")),
                    endpointConnection::reset);
            RawHttpClient.Message response = client.read();
            assertEquals(responsePart.equals("whole") ? 200 : 502, response.status());
            client.send(fixture.request("order", DEADLINE_MS));
            try (RawHttpClient nextConnection = new RawHttpClient(listener.accept())) {
                nextConnection.read();
                FakeEndpoint.answer(nextConnection, 200, "", "second");
                assertEquals("second", client.read().body());
            }
        }
    }
}
