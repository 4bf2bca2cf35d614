package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a new process at the address of one that has gone being taken for the old one. */
@Timeout(60)
class EndpointReplacementTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;
    private FakeEndpoint newProcess;
    private final CountDownLatch replaced = new CountDownLatch(1);

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        if (newProcess != null) {
            newProcess.close();
        }
    }

    /** Starts a sidecar whose discovery reports, once {@link #replaced}, a new process at the old one's address. */
    private void start(FakeEndpoint oldProcess, String newId, long newStartMs) throws IOException {
        fixture = new SidecarFixture(oldProcess);
        String address = oldProcess.address();
        String newEntry =
                SidecarFixture.line(0, address, "in_service", newStartMs).replace("\"s0\"", '"' + newId + '"');
        fixture.discovery.script = (connection, poll) -> {
            if (poll.startLine().contains("wait=1 ")) {
                FakeEndpoint.answer(connection, 200, "", SidecarFixture.list(1, false));
            } else if (poll.startLine().contains("index=1&")) {
                replaced.await();
                FakeEndpoint.answer(connection, 200, "", SidecarFixture.list(2, true, newEntry));
            } else {
                connection.awaitClose();
            }
        };
        fixture.maxListWaitMs = SidecarFixture.AWAIT_TIMEOUT_MS;
        fixture.start();
    }

    private void replace(FakeEndpoint oldProcess, FakeEndpoint.Script newScript) throws Exception {
        InetSocketAddress address = (InetSocketAddress) oldProcess.listener.getLocalSocketAddress();
        // Its connections stay open, as those of a process that is about to end.
        oldProcess.close();
        newProcess = new FakeEndpoint(address, newScript);
        replaced.countDown();
        SidecarFixture.await("the new list is known", () -> fixture.logged().contains("version 2"));
    }

    /** An idle connection to the old process is not used for the new one, whether the id or the start time is new. */
    @ParameterizedTest
    @CsvSource({"s1, 0", "s1, 5000", "s0, 5000"})
    void newProcessGetsNewConnections(String newId, long newStartMs) throws Exception {
        FakeEndpoint oldProcess = FakeEndpoint.serving();
        start(oldProcess, newId, newStartMs);
        assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
        SidecarFixture.awaitReuseDelay();
        replace(oldProcess, (connection, request) -> FakeEndpoint.answer(connection, 200, "", "new"));
        assertEquals("new", fixture.sendRequest("order", DEADLINE_MS).body());
        assertEquals(1, oldProcess.requests.size());
    }

    /** What the old process may have executed is not sent to the new one. */
    @ParameterizedTest
    @CsvSource({"s1, 5000", "s0, 5000"})
    void requestInFlightIsNotExecutedByNewProcess(String newId, long newStartMs) throws Exception {
        CountDownLatch ends = new CountDownLatch(1);
        FakeEndpoint oldProcess = new FakeEndpoint((connection, request) -> {
            ends.await();
            connection.reset();
        });
        start(oldProcess, newId, newStartMs);
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the old process has the request", () -> fixture.attempts() == 1);
            replace(oldProcess, (connection, request) -> FakeEndpoint.answer(connection, 200, "", "new"));
            ends.countDown();
            assertEquals(502, client.read().status());
        }
        assertEquals(List.of(), newProcess.requests);
    }
}
