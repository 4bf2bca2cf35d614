package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Endpoints that come and go under ever new ids. */
@Timeout(60)
class ChurnTest {

    private static final int DEADLINE_MS = 8000;
    private static final int ROUNDS = 200;
    private static final int IDS_A_ROUND = 50;

    private final FakeEndpoint endpoint = FakeEndpoint.answering(200, "", "served");
    private final SidecarFixture fixture = new SidecarFixture(endpoint);
    private final LinkedBlockingQueue<String> lists = new LinkedBlockingQueue<>();

    ChurnTest() throws IOException {
        fixture.pollIntervalMs = 20;
        fixture.discovery.script = (wire, request) -> FakeEndpoint.answer(wire, 200, "", lists.take());
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void tell(String list) throws InterruptedException {
        int before = fixture.discovery.requests.size();
        lists.add(list);
        SidecarFixture.await("the list is taken in", () -> fixture.discovery.requests.size() > before);
    }

    /** Guards against tables that grow with each id: after thousands only those that serve are known. */
    @Test
    void nothingIsKeptOfIdsThatAreGone() throws Exception {
        fixture.start();
        SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
        int last = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> lines = new ArrayList<>();
            for (int i = 0; i < IDS_A_ROUND; i++) {
                lines.add(SidecarFixture.line(last, endpoint.address(), "terminated", 0));
                lines.add(SidecarFixture.line(++last, endpoint.address(), "in_service", 1000 + last));
            }
            tell(SidecarFixture.list(round + 2, false, lines.toArray(String[]::new)));
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

    /** Guards against calls meant for a process that is gone and made to the cold one at its address. */
    @Test
    void anEndpointAtAnotherOnesAddressTakesItsPlace() throws Exception {
        FakeEndpoint other = FakeEndpoint.answering(200, "", "other");
        try {
            fixture.endpoints.add(other);
            fixture.start();
            SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
            for (int i = 0; i < 4; i++) {
                assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
            }
            // The new one drains, so nothing may go to its address, whoever had it before.
            tell(SidecarFixture.list(2, false, SidecarFixture.line(7, endpoint.address(), "terminating", 1000)));
            SidecarFixture.await("connections to the former are closed", () -> endpoint.open.get() == 0);
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
