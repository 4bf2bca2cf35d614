package martenlatch.policy;

import java.util.*;

/**
 * The requests that wait because no request may be forwarded until the endpoint list is confirmed. Each is rejected
 * early enough that its client can still try elsewhere.
 */
final class HeldRequests {

    /** The share of its client's time that a request may wait; a rejection after more than half of it is late. */
    private static final double MAX_WAIT_SHARE = 0.4;

    private static final double TIMER_TOLERANCE_MS = 1; // by which a timer may fire early

    private record HeldRequest(PendingRequest pending, double rejectAtMs) {}

    private final Deque<HeldRequest> waiting = new ArrayDeque<>(); // in the order of arrival

    /** Adds a request; returns how long it may wait, in milliseconds. */
    double add(double nowMs, PendingRequest pending) {
        double allowedMs = MAX_WAIT_SHARE * (pending.request.deadlineMs() - nowMs);
        double usefulMs = pending.usefulUntilMs - pending.latency.typicalMs() - nowMs;
        double waitMs = Math.max(0, Math.min(allowedMs, usefulMs));
        waiting.add(new HeldRequest(pending, nowMs + waitMs));
        return waitMs;
    }

    /** Removes a request whose client has disconnected. */
    void remove(PendingRequest pending) {
        waiting.removeIf(held -> held.pending == pending);
    }

    /** Removes and returns the requests that have to be rejected now. */
    List<PendingRequest> takeExpired(double nowMs) {
        List<PendingRequest> expired = new ArrayList<>();
        waiting.removeIf(held -> {
            boolean isExpired = held.rejectAtMs <= nowMs + TIMER_TOLERANCE_MS;
            if (isExpired) {
                expired.add(held.pending);
            }
            return isExpired;
        });
        return expired;
    }

    /** Removes and returns all requests in the order of their arrival. */
    List<PendingRequest> takeAll() {
        List<PendingRequest> all = waiting.stream().map(HeldRequest::pending).toList();
        waiting.clear();
        return all;
    }
}
