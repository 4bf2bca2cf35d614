package martenlatch.simulator;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.Endpoint;

/**
 * One batch of the simulator.
 *
 * @param number the number of the batch, which its reply repeats
 * @param nowMs the time of all events, in milliseconds
 * @param parts the events by instance, in their order
 */
record Batch(long number, double nowMs, List<Part> parts) {

    /** The events of one instance. */
    record Part(String instance, List<Event> events) {}

    /** One event, with whichever fields it had; the others keep these values. */
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
        boolean retried;
        boolean answered;
        /** Requests in flight as the endpoint reports them, or below 0 where it does not. */
        double outstanding = -1;

        List<Endpoint> endpoints = List.of();
        Map<String, Object> settings = Map.of();
    }
}
