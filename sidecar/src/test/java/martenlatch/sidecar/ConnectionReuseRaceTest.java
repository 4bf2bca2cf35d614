package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A response and the end of its time, or of its connection, in one turn of the event loop. */
@Timeout(60)
class ConnectionReuseRaceTest {

    private static final int DEADLINE_MS = 8000;
    /** A disconnect has to be noticed long before this, at which the request would be over anyway. */
    private static final double NOTICED_MS = DEADLINE_MS / 2.0;

    private static final int SHORT_MS = 3000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Starts a sidecar before one place, whose connections the test accepts itself. */
    private ServerSocket startBefore(ServerSocket place, boolean cancel) throws IOException {
        fixture = SidecarFixture.startedBefore(place, cancel);
        return place;
    }

    /** An answer that is there when its time is over, but was not read yet, has come in time. */
    @Test
    void anAnswerAndItsTimeOutAreOneAnswer() throws Exception {
        try (ServerSocket place = startBefore(DelayedAcceptEndpoint.listenWithShortBacklog(), true);
                RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", SHORT_MS));
            RawHttpClient endpoint = new RawHttpClient(place.accept());
            endpoint.read();
            long until = System.nanoTime() + SHORT_MS * 1_000_000L;
            fixture.whileEventLoopBlocked(() -> FakeEndpoint.answer(endpoint, 200, "", "first"), () -> {
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
            });
            assertEquals("first", client.read().body());
            fixture.awaitPending(0, NOTICED_MS);
            SidecarFixture.awaitReuseDelay();
            // Nothing of the time-out is left, neither on this connection nor on the endpoint's.
            client.send(fixture.request("order", DEADLINE_MS));
            endpoint.read();
            FakeEndpoint.answer(endpoint, 200, "", "second");
            assertEquals("second", client.read().body());
        }
    }

    /** A whole answer is one, whatever becomes of its connection; half of one is none. */
    @ParameterizedTest
    @ValueSource(strings = {"whole", "half"})
    void anAnswerAndTheResetBehindIt(String what) throws Exception {
        try (ServerSocket place = startBefore(DelayedAcceptEndpoint.listenWithShortBacklog(), true);
                RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            RawHttpClient endpoint = new RawHttpClient(place.accept());
            endpoint.read();
            fixture.whileEventLoopBlocked(
                    () -> endpoint.send(
                            "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\n" + (what.equals("whole") ? "first" : "fir")),
                    endpoint::reset);
            RawHttpClient.Message answer = client.read();
            assertEquals(what.equals("whole") ? 200 : 502, answer.status());
            client.send(fixture.request("order", DEADLINE_MS));
            try (RawHttpClient next = new RawHttpClient(place.accept())) {
                next.read();
                FakeEndpoint.answer(next, 200, "", "second");
                assertEquals("second", client.read().body());
            }
        }
    }
}
