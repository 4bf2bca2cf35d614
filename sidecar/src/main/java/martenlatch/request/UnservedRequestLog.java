package martenlatch.request;

import martenlatch.request.Transport.ResponseProgress;

/**
 * Logs each request that ends without a whole response of an endpoint: who ended it, the time left, and for each
 * attempt the endpoint, the outcome and what had arrived when.
 */
final class UnservedRequestLog {

    private static final String CATEGORY = "request not served";

    /** Why a request has ended. */
    enum Reason {
        FAILED("failed"),
        REJECTED("rejected after an attempt"),
        CLIENT_GONE("client gone"),
        CLIENT_GONE_DURING_RESPONSE("client gone while the response was passed on"),
        RESPONSE_TRUNCATED("response truncated by the endpoint while it was passed on"),
        RESPONSE_STOPPED("response cut while it was passed on, as it stopped or trickled"),
        PROCESS_ENDS("response cut while it was passed on, as the process ends");

        private final String text;

        Reason(String text) {
            this.text = text;
        }
    }

    /** A request whose response is being passed on. */
    record StreamedRequest(String id, String endpointId, double deadlineMs, double respondedAtMs) {}

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;

    UnservedRequestLog(Scheduler scheduler, RateLimitedLogger logger) {
        this.scheduler = scheduler;
        this.logger = logger;
    }

    void log(PendingRequest request, Reason reason) {
        logger.logEach(CATEGORY, () -> describe(request, reason));
    }

    /** Logs a request whose response was begun to be passed on, and of which nothing else is kept. */
    void logStreamed(StreamedRequest request, Reason reason, BodyProgress progress) {
        logger.logEach(
                CATEGORY,
                () -> request.id() + ", " + reason.text + ", " + Math.round(request.deadlineMs() - scheduler.now())
                        + " ms left; response from " + request.endpointId() + " begun "
                        + Math.round(scheduler.now() - request.respondedAtMs()) + " ms ago, "
                        + progress.describe(scheduler.now()));
    }

    private String describe(PendingRequest request, Reason reason) {
        double nowMs = scheduler.now();
        StringBuilder line = new StringBuilder(request.id());
        line.append(", ").append(reason.text);
        line.append(", ").append(Math.round(request.deadlineMs - nowMs)).append(" ms left");
        if (request.bodyIncomplete) {
            line.append(", body incomplete");
        }
        request.attempts.forEach(attempt -> append(line, attempt, nowMs));
        return line.toString();
    }

    private static void append(StringBuilder line, PendingAttempt attempt, double nowMs) {
        attempt.updateProgress();
        line.append("; attempt ").append(attempt.number);
        line.append(" to ").append(attempt.endpointId);
        line.append(", ").append(attempt.ended ? attempt.outcome : "in flight");
        line.append(", started ")
                .append(Math.round(nowMs - attempt.startedAtMs))
                .append(" ms ago");
        ResponseProgress progress = attempt.progress;
        if (progress == null) {
            line.append(", no response");
        } else {
            line.append(", response begun ").append(Math.round(nowMs - progress.startedAtMs()));
            line.append(" ms ago, last bytes ").append(Math.round(nowMs - progress.lastBytesAtMs()));
            line.append(" ms ago");
        }
    }
}
