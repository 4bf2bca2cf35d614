package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests endpoints that are replaced again and again under new ids. */
@Timeout(60)
class ChurnTest {

    private static final int DEADLINE_MS = 8000;
    private static final int ROUNDS = 200;
    private static final int IDS_PER_ROUND = 50;

    private final FakeEndpoint endpoint = FakeEndpoint.answering(200, "", "served");
    private final SidecarFixture fixture = new SidecarFixture(endpoint);
    private final LinkedBlockingQueue<String> lists = new LinkedBlockingQueue<>();

    ChurnTest() throws IOException {
        fixture.pollIntervalMs = 20;
        fixture.discovery.script = (connection, request) -> FakeEndpoint.answer(connection, 200, "", lists.take());
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void publish(String list) throws InterruptedException {
        int before = fixture.discovery.requests.size();
        lists.add(list);
        SidecarFixture.await("the sidecar has received the list", () -> fixture.discovery.requests.size() > before);
    }

    /** Guards against tables that grow with each id: after thousands of ids only the current endpoint is known. */
    @Test
    void removedIdsAreForgotten() throws Exception {
        fixture.start();
        SidecarFixture.await("a watch is open", () -> fixture.discovery.requests.size() == 1);
        int lastId = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < IDS_PER_ROUND; i++) {
                entries.add(SidecarFixture.line(lastId, endpoint.address(), "terminated", 0));
                entries.add(SidecarFixture.line(++lastId, endpoint.address(), "in_service", 1000 + lastId));
            }
            publish(SidecarFixture.list(round + 2, false, entries.toArray(String[]::new)));
            if (round % 20 == 0) {
                assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
            }
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(
                List.of(0, 1),
                fixture.sidecar
                        .loop()
                        .submit(() -> fixture.sidecar.tableSizes())
                        .get());
    }

    /** Guards against requests for a terminated endpoint that are sent to its cold successor at the same address. */
    @Test
    void endpointAtSameAddressReplacesFormerOne() throws Exception {
        FakeEndpoint other = FakeEndpoint.answering(200, "", "other");
        try {
            fixture.endpoints.add(other);
            fixture.start();
            SidecarFixture.await("a watch is open", () -> fixture.discovery.requests.size() == 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            }
            // The new endpoint drains, so no request may be sent to its address, not even for the former endpoint.
            publish(SidecarFixture.list(2, false, SidecarFixture.line(7, endpoint.address(), "terminating", 1000)));
            SidecarFixture.await("connections to the former endpoint are closed", () -> endpoint.open.get() == 0);
            int before = endpoint.requests.size();
            for (int i = 0; i < 20; i++) {
                assertEquals("other", fixture.sendRequest("order", DEADLINE_MS).body());
            }
            assertEquals(before, endpoint.requests.size());
        } finally {
            other.close();
        }
    }
}
