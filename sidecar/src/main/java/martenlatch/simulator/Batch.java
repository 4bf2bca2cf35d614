package martenlatch.simulator;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.Endpoint;

/**
 * A batch of simulator events.
 *
 * @param number the number of the batch, which its reply repeats
 * @param nowMs the time of all its events, in milliseconds
 * @param parts the events grouped by instance, in the order of the wire
 */
record Batch(long number, double nowMs, List<Part> parts) {

    /** The events of one load balancer instance. */
    record Part(String instance, List<Event> events) {}

    /** An event. A field that is absent on the wire keeps the default value given here. */
    static final class Event {
        String kind = "";
        String requestId = "";
        String endpointId = "";
        String outcome = "";
        double deadlineMs;
        double durationMs;
        int requestClass;
        int tenant;
        int attempt;
        int listKind;
        int listNumber;
        long number;
        boolean clientRetry;
        boolean answered;
        /** The number of requests in flight that the endpoint reports; negative if it reports none. */
        double outstanding = -1;

        List<Endpoint> endpoints = List.of();
        Map<String, Object> settings = Map.of();
    }
}
