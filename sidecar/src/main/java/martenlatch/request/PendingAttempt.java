package martenlatch.request;

/** One attempt of a pending request. */
final class PendingAttempt {

    final int number;
    final String endpointId;
    final double timeoutMs;
    /** When its time began: when it was sent, or when its request was complete, if that was later. */
    double startedAtMs;
    /** Null until the transport has taken it. */
    Transport.Attempt transportAttempt;
    /** Null where no time of it passes yet. */
    Scheduler.Timer timeoutTimer;

    boolean ended;
    /** It is known that it was not executed and never will be. */
    boolean neverExecuted;

    PendingAttempt(int number, String endpointId, double startedAtMs, double timeoutMs) {
        this.number = number;
        this.endpointId = endpointId;
        this.startedAtMs = startedAtMs;
        this.timeoutMs = timeoutMs;
    }

    /** Ends it if it is not written yet; true if so. While the transport takes it, the transport has to end it. */
    boolean withdraw() {
        return !ended && transportAttempt != null && transportAttempt.withdraw();
    }

    void cancelTimer() {
        if (timeoutTimer != null) {
            timeoutTimer.cancel();
        }
    }
}
