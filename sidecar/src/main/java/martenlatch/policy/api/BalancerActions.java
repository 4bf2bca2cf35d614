package martenlatch.policy.api;

/** What a load balancer has its host do, in the order of the calls. */
public interface BalancerActions {

    /** Starts the request's next attempt; attempts are numbered from 0. */
    void forward(String requestId, String endpointId, double timeoutMs);

    /** Final answer: rejected, and safe to retry after so many milliseconds. */
    void reject(String requestId, double retryAfterMs);

    /** Final answer: failed; it says nothing about whether the request was executed. */
    void fail(String requestId);

    /** Stops waiting for one attempt. */
    void cancelAttempt(String requestId, int attempt);

    /** Asks for {@link BalancerEvents#onTimer} after so many milliseconds. */
    void scheduleTimer(double delayMs, long name);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /** Polls discovery for changes from now on. */
    void pollEndpointList();

    /** Tells the operators about overload. */
    void report(OverloadReport report);
}
