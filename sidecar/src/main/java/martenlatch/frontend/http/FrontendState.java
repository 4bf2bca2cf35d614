package martenlatch.frontend.http;

import martenlatch.frontend.RequestParser;
import martenlatch.policy.api.BalancerSettings;

/** The state shared by all connections of a frontend: readiness, shutdown, and the settings for new requests. */
final class FrontendState {

    private RequestParser requestParser;
    /** Whether the warm-up is complete. */
    private boolean warm;
    /** Whether this process is shutting down, with or without a successor at its address. */
    private boolean shuttingDown;

    /** Whether another process serves the same address. */
    private boolean hasSuccessor;
    /** Whether operators have drained this process and not ended the drain. */
    private boolean drainedByOperator;
    /** Whether each response is the last on its connection. */
    private boolean closingConnections;

    /** The time by which every request has its final response; infinite unless this process is shutting down. */
    private double maxDeadlineMs = Double.POSITIVE_INFINITY;

    FrontendState(BalancerSettings settings) {
        applySettings(settings);
    }

    /** Applies settings to requests that are parsed from now on. */
    void applySettings(BalancerSettings settings) {
        requestParser = new RequestParser(settings);
    }

    RequestParser requestParser() {
        return requestParser;
    }

    /** Called when the warm-up is complete. */
    void markWarm() {
        warm = true;
    }

    /** Starts or ends a drain by operators; a drain closes each connection after its next response. */
    void setOperatorDrain(boolean draining) {
        drainedByOperator = draining;
        if (!shuttingDown) {
            closingConnections = draining;
        }
    }

    /** Begins the shutdown of this process; every request has its final response by {@code endMs}. */
    void beginShutdown(double endMs) {
        shuttingDown = true;
        maxDeadlineMs = endMs;
    }

    /** Records that another process serves the same address, and closes each connection after its next response. */
    void handOver() {
        hasSuccessor = true;
        closingConnections = true;
    }

    /** Makes each response from now on the last on its connection. */
    void closeConnections() {
        closingConnections = true;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    boolean hasSuccessor() {
        return hasSuccessor;
    }

    /** Returns whether each response is the last on its connection. */
    boolean isClosingConnections() {
        return closingConnections;
    }

    /** Returns the latest deadline that a request may have. */
    double maxDeadlineMs() {
        return maxDeadlineMs;
    }

    /** Returns whether the frontend is ready for clients. */
    boolean isReady(boolean listening, boolean knowsEndpoints) {
        boolean reachable = shuttingDown ? hasSuccessor : listening;
        return warm && !drainedByOperator && reachable && knowsEndpoints;
    }

    /** Returns the reason why the frontend is not ready, for the response to a health check. */
    String notReadyReason() {
        if (drainedByOperator || shuttingDown) {
            return "draining";
        }
        return warm ? "no endpoint is known" : "starting";
    }
}
