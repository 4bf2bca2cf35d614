package martenlatch.request;

import martenlatch.policy.api.AttemptOutcome;

/** One attempt of a pending request. */
final class PendingAttempt {

    final int number;
    final String endpointId;
    final double timeoutMs;
    /** The time at which the attempt was sent or its request was complete, whichever was later. */
    double startedAtMs;
    /** The attempt as the transport knows it; null until {@link Transport#send} has returned. */
    Transport.Attempt transportAttempt;
    /** Null until the timeout of the attempt starts to run. */
    Scheduler.Timer timeoutTimer;
    /** The time at which the timeout timer fires. */
    double timeoutAtMs;
    /** The time until the response began, if its body took longer than that counts for the endpoint; else NaN. */
    double responseLatencyMs = Double.NaN;

    boolean ended;
    /** How the attempt ended; null before. */
    AttemptOutcome outcome;
    /** How far the response had arrived when that was last looked up; null if there was none. */
    Transport.ResponseProgress progress;
    /** Whether it is known that the attempt was not and never will be executed. */
    boolean neverExecuted;

    PendingAttempt(int number, String endpointId, double startedAtMs, double timeoutMs) {
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtMs = startedAtMs;
        this.timeoutMs = timeoutMs;
    }

    /**
     * Withdraws the attempt if it is not written completely yet, and returns whether it did. Returns false during
     * {@link Transport#send}, as the transport has to end the attempt then.
     */
    boolean withdraw() {
        return !ended && transportAttempt != null && transportAttempt.withdraw();
    }

    /** Returns whether a response is arriving whose body makes progress steadily. */
    boolean isResponseFlowing() {
        return !ended
                && transportAttempt != null
                && transportAttempt
                        .responseProgress()
                        .filter(current -> current.flowing())
                        .isPresent();
    }

    /** Returns whether the endpoint is taking the request body, which is written while it is received. */
    boolean isUploadMoving(double nowMs) {
        return !ended
                && transportAttempt != null
                && transportAttempt
                        .uploadProgress()
                        .filter(upload -> nowMs < upload.stoppedAtMs(Double.POSITIVE_INFINITY))
                        .isPresent();
    }

    /** Looks up how far the response has arrived; called before the attempt is given up, which ends the response. */
    void updateProgress() {
        if (!ended && transportAttempt != null) {
            transportAttempt.responseProgress().ifPresent(current -> progress = current);
        }
    }

    void cancelTimer() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
    }
}
