package martenlatch.frontend.extproc;

import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;
import martenlatch.request.Transport;

/** An attempt that was decided on and that a proxy makes. */
final class ProxiedAttempt implements Transport.Attempt {

    private final ProxiedRequest request;
    private final String endpointId;
    private final Transport.WriteConditions conditions;
    private final double notAfterMs;
    private final Transport.AttemptListener listener;
    private boolean handedOut;
    /** Before this attempt, none of the request's attempts can have executed. */
    private boolean first;

    ProxiedAttempt(
            ProxiedRequest request,
            String endpointId,
            Transport.WriteConditions conditions,
            double notAfterMs,
            Transport.AttemptListener listener) {
        this.request = request;
        this.endpointId = endpointId;
        this.conditions = conditions;
        this.notAfterMs = notAfterMs;
        this.listener = listener;
    }

    String endpointId() {
        return endpointId;
    }

    /** How long its response will still be waited for, in milliseconds. */
    double remainingMs() {
        return conditions.remainingMs();
    }

    boolean isTooLate(double nowMs) {
        return nowMs > notAfterMs;
    }

    /** A proxy has got the attempt: from here on it may execute. */
    void markHandedOut(boolean isFirst) {
        handedOut = true;
        first = isFirst;
    }

    boolean isFirst() {
        return first;
    }

    /** Reports how the attempt ended; the response is null where none came. */
    void finish(AttemptOutcome outcome, EndpointResponse response) {
        listener.onAttemptFinished(outcome, response);
    }

    @Override
    public boolean giveUp() {
        request.onAttemptGivenUp(this);
        return handedOut;
    }

    @Override
    public boolean withdraw() {
        if (handedOut) {
            return false;
        }
        request.onAttemptGivenUp(this);
        return true;
    }
}
