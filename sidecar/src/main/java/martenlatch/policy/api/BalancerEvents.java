package martenlatch.policy.api;

import java.util.List;
import java.util.Set;

/**
 * What happens to a load balancer. Each call carries the host's clock in milliseconds, whose zero has no meaning and
 * which never runs backwards. No call may be made from within {@link BalancerActions}.
 */
public interface BalancerEvents {

    /** Discovery has sent a list, or changes to it, or a poll has failed. */
    void onEndpointList(double nowMs, EndpointListKind kind, List<Endpoint> entries);

    /** Discovery is at another address from now on, where nothing has been polled yet; the watch before is over. */
    void onDiscoveryMoved(double nowMs);

    /** A list has come and no watch is open: a poll is to be scheduled that starts one. */
    void onPollCompleted(double nowMs);

    /**
     * Operators have disabled these endpoints, and no others: each counts as draining, whatever lists say, until a
     * later call does not name it.
     */
    void onEndpointsDisabled(double nowMs, Set<String> endpointIds);

    /** New settings apply to the requests to come; pending ones keep their class and number of attempts. */
    void onSettingsChanged(double nowMs, BalancerSettings next);

    /** A client has sent a request: it is owed one final answer. */
    void onRequest(double nowMs, Request request);

    /** A streamed answer has begun. */
    void onStreamStarted(double nowMs, String requestId, int attempt);

    /** An attempt has ended. */
    void onAttemptFinished(double nowMs, AttemptResult result);

    /** The client of a request has disconnected: it is owed nothing any more. */
    void onClientDisconnected(double nowMs, String requestId);

    /** A timer of {@link BalancerActions#scheduleTimer} is due. */
    void onTimer(double nowMs, long name);
}
