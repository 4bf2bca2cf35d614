package martenlatch.policy.api;

/** Actions that a load balancer requests from its host, to be carried out in the order of the method calls. */
public interface BalancerActions {

    /**
     * Sends the request's next attempt, which ends by time-out after {@code timeoutMs}; attempts are numbered from 0.
     */
    void forward(String requestId, String endpointId, double timeoutMs);

    /** Sends the final answer that the request is rejected and may safely be retried after this delay. */
    void reject(String requestId, double retryAfterMs);

    /** Sends the final answer that the request failed; the request may or may not have been executed. */
    void fail(String requestId);

    /** Cancels an attempt in flight. */
    void cancelAttempt(String requestId, int attempt);

    /** Schedules a call of {@link BalancerEvents#onTimer} with this name after this delay. */
    void scheduleTimer(double delayMs, long name);

    /** Closes all idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /** Polls discovery for the endpoint list and its later changes. */
    void pollEndpointList();

    /** Reports overload to the operators. */
    void report(OverloadReport report);
}
