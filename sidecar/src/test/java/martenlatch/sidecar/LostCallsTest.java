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

/** Tests the admission limit of an endpoint that answers some requests and never answers others. */
@Timeout(60)
class LostCallsTest {

    private static final int LATENCY_OBJECTIVE_MS = 1000;
    private static final int UNANSWERED_DEADLINE_MS = 800;
    private static final int ROUNDS = 7;
    /** Together with one answered request, this fills the initial limit of the endpoint. */
    private static final int UNANSWERED_PER_ROUND = 3;
    /**
     * The response time of answered requests: short against the latency objective, but long enough that they do not
     * outnumber and hide the unanswered ones.
     */
    private static final int RESPONSE_TIME_MS = 150;

    private static final int FINAL_IN_FLIGHT = 6;

    private final AtomicInteger abandonedRequests = new AtomicInteger();
    private final FakeEndpoint endpoint = new FakeEndpoint((wire, request) -> {
        if (request.startLine().startsWith("POST")) {
            wire.awaitClose();
            abandonedRequests.incrementAndGet();
        } else {
            Thread.sleep(RESPONSE_TIME_MS);
            FakeEndpoint.answer(wire, 200, "", "served");
        }
    });
    private final SidecarFixture fixture = new SidecarFixture(endpoint);
    private final List<RawHttpClient> clients = new ArrayList<>();

    LostCallsTest() throws IOException {
        fixture.latencyObjectiveMs = LATENCY_OBJECTIVE_MS;
    }

    @AfterEach
    void stop() throws IOException {
        for (RawHttpClient client : clients) {
            client.close();
        }
        fixture.close();
    }

    /** Sends requests that are never answered, and returns when all of them have arrived at the endpoint. */
    private List<RawHttpClient> sendUnanswered(int count, int deadlineMs) throws Exception {
        int before = endpoint.requests.size();
        List<RawHttpClient> unanswered = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RawHttpClient client = fixture.client();
            clients.add(client);
            unanswered.add(client.send(fixture.request("order", deadlineMs)));
        }
        SidecarFixture.await(
                "all requests have arrived at the endpoint", () -> endpoint.requests.size() == before + count);
        return unanswered;
    }

    /** Guards against an endpoint's limit that falls because of unanswered requests, so that others are rejected. */
    @Test
    void unansweredRequestsDoNotLowerTheLimitWhileOthersAreAnswered() throws Exception {
        fixture.start();
        for (int round = 0; round < ROUNDS; round++) {
            List<RawHttpClient> unanswered = sendUnanswered(UNANSWERED_PER_ROUND, UNANSWERED_DEADLINE_MS);
            while (abandonedRequests.get() < (round + 1) * UNANSWERED_PER_ROUND) {
                assertEquals(
                        200, fixture.sendRequest("read", LATENCY_OBJECTIVE_MS).status());
            }
            for (RawHttpClient client : unanswered) {
                int status = client.read().status();
                assertNotEquals(503, status);
                assertNotEquals(200, status);
            }
        }
        assertEquals(
                FINAL_IN_FLIGHT,
                sendUnanswered(FINAL_IN_FLIGHT, LATENCY_OBJECTIVE_MS).size());
    }
}
