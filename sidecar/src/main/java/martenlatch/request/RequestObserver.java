package martenlatch.request;

import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Request;

/** Notified of every decision and its result, in order; must not influence the requests. */
public interface RequestObserver {

    /** How a request was concluded. */
    enum Conclusion {
        /** Served with an endpoint's response. */
        SERVED,
        /** An endpoint reported that the request is invalid. */
        TURNED_AWAY,
        /** Rejected by the load balancer without being executed; a retry is safe. */
        REFUSED,
        /** Failed; it is unknown whether the request was executed. */
        FAILED,
        /** Not answered, as the client has disconnected. */
        GONE
    }

    /** An observer that ignores everything. */
    RequestObserver NONE = new RequestObserver() {};

    /** Called when a request is accepted. */
    default void onRequest(Request request) {}

    /** Called when an attempt is started; attempts of a request are numbered from 0. */
    default void onAttemptStarted(String requestId, int attempt, String endpointId, double timeoutMs) {}

    /** Called when an attempt has ended. */
    default void onAttemptFinished(String requestId, int attempt, AttemptOutcome outcome) {}

    /** Called when a request is concluded; {@code retryAfterMs} is above 0 only for a rejection. */
    default void onConcluded(String requestId, Conclusion conclusion, double retryAfterMs) {}
}
