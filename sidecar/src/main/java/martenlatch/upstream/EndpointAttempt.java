package martenlatch.upstream;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** One attempt: a request that is sent to one endpoint, on one connection, once. */
final class EndpointAttempt implements Transport.Attempt {

    /** Tells the endpoint how long its response is waited for, in whole milliseconds. */
    private static final String DEADLINE_HEADER = "X-Deadline-Ms";

    private final HttpRequest request;
    /** The body while it is still being received, or null where the request is complete. */
    private final StreamedRequestBody streamedBody;

    private final Transport.WriteConditions conditions;
    private final double notAfterMs;
    private final Scheduler scheduler;
    /** Null once the attempt has ended, or nobody waits for its end any more. */
    private Transport.AttemptListener listener;

    private EndpointConnection connection;
    private Scheduler.Timer notAfterTimer;
    /** The system has taken the last byte: from here on the request may have been executed. */
    private boolean written;

    EndpointAttempt(
            HttpRequest request,
            StreamedRequestBody streamedBody,
            Transport.WriteConditions conditions,
            double notAfterMs,
            Scheduler scheduler,
            Transport.AttemptListener listener) {
        this.request = request;
        this.streamedBody = streamedBody;
        this.conditions = conditions;
        this.notAfterMs = notAfterMs;
        this.scheduler = scheduler;
        this.listener = listener;
    }

    HttpRequest request() {
        return request;
    }

    StreamedRequestBody streamedBody() {
        return streamedBody;
    }

    /** The connection on which the attempt is, or is going to be, written. */
    void assignTo(EndpointConnection assigned) {
        connection = assigned;
    }

    /** Whether somebody still waits for the attempt, and its client is still connected. */
    boolean isWanted() {
        return listener != null && conditions.isClientConnected();
    }

    boolean isTooLate() {
        return scheduler.now() > notAfterMs;
    }

    boolean isWritten() {
        return written;
    }

    /** Ends the attempt unless it is written by the time after which it must not be. */
    void startNotAfterTimer() {
        if (listener != null && !written && notAfterMs < Double.POSITIVE_INFINITY) {
            notAfterTimer = scheduler.after(notAfterMs - scheduler.now(), this::withdrawAndNotify);
        }
    }

    /** Ends an attempt that is not written yet as not executed. */
    void withdrawAndNotify() {
        Transport.AttemptListener notified = listener;
        if (withdraw()) {
            notified.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
        }
    }

    /** To be called just before the request is written: establishing its connection has taken time. */
    void setDeadlineHeader() {
        long remaining = Math.max(1, (long) Math.ceil(conditions.remainingMs()));
        request.headers().set(DEADLINE_HEADER, remaining);
    }

    /** The system has taken the last byte of the request. */
    void onWritten() {
        written = true;
        cancelTimer();
    }

    /** The request will not be written. */
    void release() {
        ReferenceCountUtil.release(request);
    }

    /** Closes the connection, which tells the endpoint that nobody waits any more. */
    @Override
    public boolean giveUp() {
        stopNotifying();
        connection.close();
        return written;
    }

    @Override
    public boolean withdraw() {
        if (written || listener == null) {
            return false;
        }
        stopNotifying();
        connection.close();
        return true;
    }

    /** Notifies the listener of the end, unless it has heard of one or does not wait for it. */
    void finish(AttemptOutcome outcome, EndpointResponse response) {
        Transport.AttemptListener notified = listener;
        stopNotifying();
        if (notified != null) {
            notified.onAttemptFinished(outcome, response);
        }
    }

    private void stopNotifying() {
        listener = null;
        cancelTimer();
    }

    private void cancelTimer() {
        if (notAfterTimer != null) {
            notAfterTimer.cancel();
        }
    }
}
