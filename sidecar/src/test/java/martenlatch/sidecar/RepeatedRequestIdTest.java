package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests requests that arrive again with the same id: what may have been executed is not executed a second time. */
@Timeout(60)
class RepeatedRequestIdTest {

    private static final int DEADLINE_MS = 4000;
    private static final int CONFLICT = 409;

    @TempDir
    Path sharedFolder;

    private final List<Closeable> toClose = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (Closeable each : toClose) {
            each.close();
        }
    }

    private SidecarFixture start(FakeEndpoint endpoint) throws IOException {
        SidecarFixture fixture = new SidecarFixture(endpoint);
        toClose.add(fixture);
        return fixture.start();
    }

    private static String request(String id, String requestClass) {
        return "POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                + "\r\nIdempotency-Key: k\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: 2\r\n\r\nhi";
    }

    private static int send(SidecarFixture fixture, String id, String requestClass) throws IOException {
        try (RawHttpClient client = fixture.client()) {
            return client.send(request(id, requestClass)).read().status();
        }
    }

    /** Sends a request that the endpoint does not answer, and disconnects once the endpoint has it. */
    private static void sendAndDisconnect(SidecarFixture fixture, String id, boolean reset) throws Exception {
        int attemptsBefore = fixture.attempts();
        RawHttpClient client = fixture.client().send(request(id, "order"));
        SidecarFixture.await("the endpoint has the request", () -> fixture.attempts() > attemptsBefore);
        if (reset) {
            client.reset();
        } else {
            client.close();
        }
        fixture.awaitPending(0);
    }

    /** Guards against an id that is forgotten as soon as its client has left, while the endpoint still works on it. */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void idOfAClientThatHasLeftIsNotExecutedAgain(boolean reset) throws Exception {
        SidecarFixture fixture = start(new FakeEndpoint((connection, request) -> connection.awaitClose()));
        sendAndDisconnect(fixture, "x1", reset);
        assertEquals(CONFLICT, send(fixture, "x1", "order"));
        assertEquals(1, fixture.attempts());
    }

    /** An id that was answered is not executed again either. */
    @Test
    void answeredIdIsNotExecutedAgain() throws Exception {
        SidecarFixture fixture = start(FakeEndpoint.serving());
        assertEquals(200, send(fixture, "x1", "order"));
        assertEquals(CONFLICT, send(fixture, "x1", "order"));
        assertEquals(1, fixture.attempts());
    }

    /** What is known not to have been executed may come again, as its client was told. */
    @Test
    void rejectedIdMayComeAgain() throws Exception {
        FakeEndpoint endpoint = FakeEndpoint.answering(503, "X-Not-Run: 1\r\n", "busy");
        SidecarFixture fixture = start(endpoint);
        assertEquals(503, send(fixture, "x1", "order"));
        endpoint.script = (connection, request) -> FakeEndpoint.answer(connection, 200, "", "served");
        assertEquals(200, send(fixture, "x1", "order"));
    }

    /** A class that is safe to repeat is executed as often as its clients ask. */
    @Test
    void idempotentIdMayComeAgain() throws Exception {
        SidecarFixture fixture = start(FakeEndpoint.serving());
        assertEquals(200, send(fixture, "x1", "read"));
        assertEquals(200, send(fixture, "x1", "read"));
    }

    /** Endpoints drop the repeat of a keyed request within the deduplication window, so it is forwarded. */
    @Test
    void keyedIdMayComeAgainWithinItsWindowOnly() throws Exception {
        SidecarFixture fixture = new SidecarFixture(FakeEndpoint.serving());
        fixture.deduplicationWindowMs = 1000;
        toClose.add(fixture);
        fixture.start();
        assertEquals(200, send(fixture, "x1", "move"));
        assertEquals(200, send(fixture, "x1", "move"));
        Thread.sleep(1000);
        assertEquals(CONFLICT, send(fixture, "x1", "move"));
        assertEquals(2, fixture.attempts());
    }

    /** The settings of a reload do not make the sidecar forget what may have been executed. */
    @Test
    void idIsRememberedOverAReload() throws Exception {
        SidecarFixture fixture = start(new FakeEndpoint((connection, request) -> connection.awaitClose()));
        sendAndDisconnect(fixture, "x1", false);
        fixture.sidecar.reload();
        assertEquals(CONFLICT, send(fixture, "x1", "order"));
        assertEquals(1, fixture.attempts());
    }

    /** Guards against an upgrade in which the new process executes what the old one has executed, and the reverse. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true"})
    void idIsNotExecutedAgainByTheOtherProcess(boolean oldFirst, boolean clientLeaves) throws Exception {
        FakeEndpoint endpoint = new FakeEndpoint((connection, request) -> {
            if (clientLeaves) {
                connection.awaitClose();
            } else {
                FakeEndpoint.answer(connection, 200, "", "served");
            }
        });
        SidecarFixture predecessor = ofUpgrade(endpoint).start();
        SidecarFixture successor = ofUpgrade(endpoint).start();
        SidecarFixture first = oldFirst ? predecessor : successor;
        SidecarFixture second = oldFirst ? successor : predecessor;
        if (clientLeaves) {
            sendAndDisconnect(first, "x1", false);
        } else {
            assertEquals(200, send(first, "x1", "order"));
        }
        assertEquals(CONFLICT, send(second, "x1", "order"));
        assertEquals(1, endpoint.requests.size());
    }

    private SidecarFixture ofUpgrade(FakeEndpoint endpoint) throws IOException {
        SidecarFixture fixture = new SidecarFixture(endpoint);
        fixture.sharedFolder = sharedFolder;
        fixture.adminAddress = "127.0.0.1:0";
        toClose.add(fixture);
        return fixture;
    }
}
