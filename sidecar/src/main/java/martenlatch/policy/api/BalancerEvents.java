package martenlatch.policy.api;

import java.util.List;
import java.util.Set;

/**
 * Events that the host passes to a load balancer. {@code nowMs} is the host's monotonic clock in milliseconds, with an
 * arbitrary origin. No method may be called from within a method of {@link BalancerActions}.
 */
public interface BalancerEvents {

    /**
     * Called when discovery has sent a list or changes to it. {@link EndpointListKind#FAILED} reports a poll that has
     * failed, or a watch that has ended, at once, so that no change has been missed before.
     */
    void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> entries);

    /**
     * Called when a poll has failed or a watch has ended, so that the next poll must be scheduled.
     *
     * @param listAgeMs the time since discovery last confirmed the list, in milliseconds; infinite if it never did
     */
    void onPollFailed(double nowMs, PollFailure failure, double listAgeMs);

    /**
     * Called when the address of discovery changes: the new address is not polled yet.
     *
     * @param listAgeMs as in {@link #onPollFailed}
     */
    void onDiscoveryMoved(double nowMs, double listAgeMs);

    /**
     * Called when a list has arrived and no watch is open, so that a poll must be scheduled to open one.
     *
     * @param listAgeMs the time since discovery began to write the list, in milliseconds
     */
    void onPollCompleted(double nowMs, double listAgeMs);

    /**
     * Called when requests may no longer be forwarded, because the endpoint list may lack changes that count as
     * notified, and when they may again. At first they are. Attempts in flight go on.
     */
    void onForwardingChanged(double nowMs, ForwardingMode mode);

    /**
     * Called when operators have changed the set of disabled endpoints. Each endpoint in the set counts as draining,
     * whatever its listed status is, until a later call omits it.
     */
    void onEndpointsDisabled(double nowMs, Set<String> endpointIds);

    /** Called with new settings, which apply to new requests; pending ones keep their class and attempt limit. */
    void onSettingsChanged(double nowMs, BalancerSettings next);

    /** Called when a client has sent a request, which must get exactly one final answer. */
    void onRequest(double nowMs, Request request);

    /** Called when a streamed response has started, after which the request is not retried. */
    void onStreamStarted(double nowMs, String requestId, int attempt);

    /** Called when an attempt has ended. */
    void onAttemptFinished(double nowMs, AttemptResult result);

    /**
     * Called before an attempt ends as {@code OK} whose response is passed on before it is complete. Whether the
     * endpoint has done well is only known from {@link #onResponseEnded}.
     */
    void onResponseBegun(double nowMs, String requestId, int attempt);

    /**
     * Called when a response has ended that was passed on before it was complete.
     *
     * @param complete whether it was completed; false if it was not through the endpoint's fault
     */
    void onResponseEnded(double nowMs, String endpointId, boolean complete);

    /** Called when the client of a request has disconnected; the request needs no answer any more. */
    void onClientDisconnected(double nowMs, String requestId);

    /** Called when a timer set by {@link BalancerActions#scheduleTimer} is due. */
    void onTimer(double nowMs, long name);
}
