package martenlatch.sidecar;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Endpoints that answer each request as its client asks in a header, and record what they received. */
final class TableEndpoints {

    /** The header that says how to answer: the answer, its framing and the client's time in milliseconds. */
    static final String PLAN_HEADER = "X-Plan";

    /** A request that has arrived at an endpoint, with the time that the sidecar says is left. */
    record Arrival(long nanos, int deadlineMs) {}

    private final Map<String, Arrival> arrivals = new ConcurrentHashMap<>();

    /** Returns a fixture with this many endpoints. */
    SidecarFixture fixture(int endpointCount) throws IOException {
        FakeEndpoint[] endpoints = new FakeEndpoint[endpointCount];
        for (int i = 0; i < endpointCount; i++) {
            endpoints[i] = new FakeEndpoint(this::answer);
        }
        return new SidecarFixture(endpoints);
    }

    private void answer(RawHttpClient connection, RawHttpClient.Message request) throws Exception {
        String id = request.headers().get("x-request-id");
        String plan = request.headers().get("x-plan");
        if (plan == null) {
            FakeEndpoint.answer(connection, 200, "", "served");
            return;
        }
        arrivals.putIfAbsent(
                id,
                new Arrival(
                        System.nanoTime(), Integer.parseInt(request.headers().get("x-deadline-ms"))));
        String[] fields = plan.split(",", 3);
        EndpointAnswer.valueOf(fields[0])
                .write(connection, id, EndpointAnswer.Framing.valueOf(fields[1]), Integer.parseInt(fields[2]));
    }

    /** Returns the first arrival of a request, or null if it was not forwarded. */
    Arrival arrival(String requestId) {
        return arrivals.get(requestId);
    }
}
