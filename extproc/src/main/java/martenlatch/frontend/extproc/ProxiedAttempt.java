package martenlatch.frontend.extproc;

import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;
import martenlatch.request.Transport;

/** An attempt that the load balancer has decided on and that a proxy makes. */
final class ProxiedAttempt implements Transport.Attempt {

    private final ProxiedRequest request;
    private final String endpointId;
    private final Transport.WriteConditions conditions;
    private final double notAfterMs;
    private final Transport.AttemptListener listener;
    private boolean handedOut;
    /** Whether no earlier attempt of the request can have executed. */
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

    /** Returns how much longer the response is waited for, in milliseconds. */
    double remainingMs() {
        return conditions.remainingMs();
    }

    /** Returns whether it is too late to send the attempt. */
    boolean isTooLate(double nowMs) {
        return nowMs > notAfterMs;
    }

    /** Records that a proxy has received the attempt, which may execute from now on. */
    void markHandedOut(boolean isFirst) {
        handedOut = true;
        first = isFirst;
    }

    boolean isFirst() {
        return first;
    }

    /** Reports the outcome of the attempt; the response is null if the endpoint sent none. */
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
