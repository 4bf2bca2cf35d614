package martenlatch.request;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import martenlatch.policy.api.BalancerEvents;
import martenlatch.request.UnservedRequestLog.Reason;
import martenlatch.request.UnservedRequestLog.StreamedRequest;

/**
 * The responses that are passed on while they arrive. Each is followed to its end, which is reported to the load
 * balancer as far as it says something of the endpoint, and logged if the response is not whole.
 */
final class StreamedResponses {

    /**
     * The time after the deadline from which a response ends that makes no progress. It is well before half a second
     * after the client's time, when what is neither whole nor ended counts as lost.
     */
    private static final double GRACE_MS = 350;

    private final Scheduler scheduler;
    private final BalancerEvents balancer;
    private final BalancerEventQueue events;
    private final UnservedRequestLog log;
    private final Set<RemainingBody> bodies = Collections.newSetFromMap(new IdentityHashMap<>());
    /** The time by which every response has ended; infinite unless this process is shutting down. */
    private double latestEndMs = Double.POSITIVE_INFINITY;

    StreamedResponses(Scheduler scheduler, BalancerEvents balancer, BalancerEventQueue events, UnservedRequestLog log) {
        this.scheduler = scheduler;
        this.balancer = balancer;
        this.events = events;
        this.log = log;
    }

    /** Follows a response that is about to be passed on. */
    void follow(StreamedRequest request, RemainingBody body) {
        bodies.add(body);
        body.setEndListener((end, progress) -> onEnd(request, body, end, progress));
        double latestMs = Math.max(request.deadlineMs(), latestEndMs);
        body.setArrivalDeadline(Math.min(request.deadlineMs() + GRACE_MS, latestMs));
        body.endBy(latestEndMs);
    }

    /** Ends every response by this time, as the process exits then. */
    void endBy(double latestMs) {
        latestEndMs = latestMs;
        List.copyOf(bodies).forEach(body -> body.endBy(latestMs));
    }

    private void onEnd(StreamedRequest request, RemainingBody body, RemainingBody.End end, BodyProgress progress) {
        bodies.remove(body);
        double nowMs = scheduler.now();
        switch (end) {
            case COMPLETE -> reportEnd(request, true);
            case TRUNCATED -> {
                log.logStreamed(request, Reason.RESPONSE_TRUNCATED, progress);
                reportEnd(request, false);
            }
            case TIMED_OUT -> {
                log.logStreamed(request, Reason.RESPONSE_STOPPED, progress);
                reportEnd(request, false);
            }
            case INTERRUPTED -> {
                log.logStreamed(request, Reason.CLIENT_GONE_DURING_RESPONSE, progress);
                // A client that has waited long enough leaves because of its endpoint, unless the body still flows.
                if (nowMs >= request.deadlineMs() && !progress.isFlowing(nowMs)) {
                    reportEnd(request, false);
                }
            }
            case NOT_TAKEN -> log.logStreamed(request, Reason.CLIENT_GONE_DURING_RESPONSE, progress);
            case PROCESS_ENDS -> log.logStreamed(request, Reason.PROCESS_ENDS, progress);
            default -> throw new IllegalStateException(end.name());
        }
    }

    private void reportEnd(StreamedRequest request, boolean complete) {
        events.enqueue(now -> balancer.onResponseEnded(now, request.endpointId(), complete));
    }
}
