package martenlatch.frontend.http;

import martenlatch.frontend.RequestParser;
import martenlatch.policy.api.BalancerSettings;

/** What holds for all connections of a frontend: whether it takes requests, until when, and by which settings. */
final class FrontendState {

    private RequestParser requestParser;
    private boolean warm;
    /** This process ends, with or without a successor at its address. */
    private boolean shuttingDown;

    private boolean hasSuccessor;
    /** Operators have sent the clients away, until they take it back. */
    private boolean goingAway;
    /** Each response is the last on its connection. */
    private boolean closingConnections;

    private double maxDeadlineMs = Double.POSITIVE_INFINITY;

    FrontendState(BalancerSettings settings) {
        applySettings(settings);
    }

    void applySettings(BalancerSettings settings) {
        requestParser = new RequestParser(settings);
    }

    RequestParser requestParser() {
        return requestParser;
    }

    void markWarm() {
        warm = true;
    }

    void setGoingAway(boolean away) {
        goingAway = away;
        if (!shuttingDown) {
            closingConnections = away;
        }
    }

    /** This process ends: every request has its final answer by this time. */
    void beginShutdown(double endMs) {
        shuttingDown = true;
        maxDeadlineMs = endMs;
    }

    void handOver() {
        hasSuccessor = true;
        closingConnections = true;
    }

    void closeConnections() {
        closingConnections = true;
    }

    boolean isShuttingDown() {
        return shuttingDown;
    }

    boolean hasSuccessor() {
        return hasSuccessor;
    }

    /** Whether each response is the last on its connection. */
    boolean isClosingConnections() {
        return closingConnections;
    }

    /** No request's deadline is later than this. */
    double maxDeadlineMs() {
        return maxDeadlineMs;
    }

    /** Whether clients may come. */
    boolean isReady(boolean listening, boolean knowsEndpoints) {
        boolean reachable = shuttingDown ? hasSuccessor : listening;
        return warm && !goingAway && reachable && knowsEndpoints;
    }

    /** Why it is not ready, for the response to a health check. */
    String notReadyReason() {
        if (goingAway || shuttingDown) {
            return "draining";
        }
        return warm ? "no endpoint is known" : "starting";
    }
}
