package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** An endpoint that answers most calls as ever and leaves others without a word. */
@Timeout(60)
class LostCallsTest {

    private static final int AIM_MS = 1000;
    private static final int LOST_MS = 800;
    private static final int ROUNDS = 7;
    /** As many as the limit starts from before one endpoint, with one of the answered calls. */
    private static final int LOST_AT_ONCE = 3;
    /** What an answer takes: short against the aim, long enough that not too many of them hide the lost. */
    private static final int WORK_MS = 150;

    private static final int HELD = 6;

    private final AtomicInteger givenUp = new AtomicInteger();
    private final FakeEndpoint endpoint = new FakeEndpoint((wire, request) -> {
        if (request.startLine().startsWith("POST")) {
            wire.awaitClose();
            givenUp.incrementAndGet();
        } else {
            Thread.sleep(WORK_MS);
            FakeEndpoint.answer(wire, 200, "", "served");
        }
    });
    private final SidecarFixture fixture = new SidecarFixture(endpoint);
    private final List<RawHttpClient> clients = new ArrayList<>();

    LostCallsTest() throws IOException {
        fixture.latencyObjectiveMs = AIM_MS;
    }

    @AfterEach
    void stop() throws IOException {
        for (RawHttpClient client : clients) {
            client.close();
        }
        fixture.close();
    }

    /** Sends calls that get no answer; each is on its way at the endpoint when this returns. */
    private List<RawHttpClient> lose(int calls, int deadlineMs) throws Exception {
        int before = endpoint.requests.size();
        List<RawHttpClient> lost = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            RawHttpClient client = fixture.client();
            clients.add(client);
            lost.add(client.send(fixture.request("order", deadlineMs)));
        }
        SidecarFixture.await("all calls are at the endpoint", () -> endpoint.requests.size() == before + calls);
        return lost;
    }

    /** Guards against calls turned away at an endpoint that has room: what it loses does not crowd it. */
    @Test
    void lostCallsDoNotLowerTheLimitWhileOthersAreAnswered() throws Exception {
        fixture.start();
        for (int round = 0; round < ROUNDS; round++) {
            List<RawHttpClient> lost = lose(LOST_AT_ONCE, LOST_MS);
            while (givenUp.get() < (round + 1) * LOST_AT_ONCE) {
                assertEquals(200, fixture.sendRequest("read", AIM_MS).status());
            }
            for (RawHttpClient client : lost) {
                int status = client.read().status();
                assertNotEquals(503, status);
                assertNotEquals(200, status);
            }
        }
        assertEquals(HELD, lose(HELD, AIM_MS).size());
    }
}
