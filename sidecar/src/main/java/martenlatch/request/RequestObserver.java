package martenlatch.request;

import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Request;

/** Hears of every decision and how it ended, in order; it must not act on what it hears. */
public interface RequestObserver {

    /** How a request was concluded. */
    enum Conclusion {
        /** With an endpoint's response. */
        SERVED,
        /** With an endpoint's word that the request is invalid. */
        TURNED_AWAY,
        /** Rejected by this side; a retry does no harm. */
        REFUSED,
        /** Failed. */
        FAILED,
        /** Without an answer: its client has disconnected. */
        GONE
    }

    /** Hears everything and keeps nothing. */
    RequestObserver NONE = new RequestObserver() {};

    /** A request was accepted. */
    default void onRequest(Request request) {}

    /** An attempt was decided on; attempts count from 0, the time-out is in milliseconds. */
    default void onAttemptStarted(String requestId, int attempt, String endpointId, double timeoutMs) {}

    /** An attempt has ended. */
    default void onAttemptFinished(String requestId, int attempt, AttemptOutcome outcome) {}

    /** A request was concluded; the time to wait, in milliseconds, is above 0 only with a rejection. */
    default void onConcluded(String requestId, Conclusion conclusion, double retryAfterMs) {}
}
