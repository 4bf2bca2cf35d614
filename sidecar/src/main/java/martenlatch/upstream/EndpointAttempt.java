package martenlatch.upstream;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.BodyProgress;
import martenlatch.request.EndpointResponse;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** One attempt at a request: it is sent once, to one endpoint, on one connection. */
final class EndpointAttempt implements Transport.Attempt {

    /** The header that tells the endpoint how long its response is awaited, in whole milliseconds. */
    private static final String DEADLINE_HEADER = "X-Deadline-Ms";

    private final HttpRequest request;
    /** The body if it is still being received, or null if the request is complete. */
    private final StreamedRequestBody streamedBody;

    private final Transport.WriteConditions conditions;
    /** The time after which the attempt must not be written any more. */
    private final double notAfterMs;

    private final Scheduler scheduler;
    /** The listener, or null once the attempt has ended or its result is no longer needed. */
    private Transport.AttemptListener listener;

    private EndpointConnection connection;
    private Scheduler.Timer notAfterTimer;
    /** Whether the operating system has accepted the last byte; from then on the request may have been executed. */
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

    /** Sets the connection on which the attempt is written. */
    void assignTo(EndpointConnection assignedConnection) {
        connection = assignedConnection;
    }

    /** Returns whether the attempt's result is still needed and its client is still connected. */
    boolean isStillNeeded() {
        return listener != null && conditions.isClientConnected();
    }

    /** Returns whether the time has passed after which the attempt must not be written. */
    boolean isPastNotAfter() {
        return scheduler.now() > notAfterMs;
    }

    /** Returns whether the response may be reported before it is complete. */
    boolean mayStreamResponse() {
        return listener == null || listener.mayStream();
    }

    boolean isWritten() {
        return written;
    }

    /** Starts the timer that withdraws the attempt if it is not written in time. */
    void startNotAfterTimer() {
        if (listener != null && !written && notAfterMs < Double.POSITIVE_INFINITY) {
            notAfterTimer = scheduler.after(notAfterMs - scheduler.now(), this::withdrawAndNotify);
        }
    }

    /** Withdraws the attempt if it is not completely written, and notifies its listener that it was not executed. */
    void withdrawAndNotify() {
        Transport.AttemptListener notified = listener;
        if (withdraw()) {
            notified.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
        }
    }

    /**
     * Sets the deadline header to the remaining time. Must be called just before the request is written, because
     * establishing the connection takes time.
     */
    void setDeadlineHeader() {
        long remaining = Math.max(1, (long) Math.ceil(conditions.remainingMs()));
        request.headers().set(DEADLINE_HEADER, remaining);
    }

    /** Called when the operating system has accepted the last byte of the request. */
    void onWritten() {
        written = true;
        cancelTimer();
        if (listener != null) {
            listener.onRequestWritten();
        }
    }

    /** Returns whether the attempt ends at a certain time if its endpoint does nothing. */
    boolean isTimeLimited() {
        return conditions.isTimeLimited();
    }

    @Override
    public Optional<BodyProgress> uploadProgress() {
        return connection == null ? Optional.empty() : connection.uploadProgress(this);
    }

    /** Releases the request message if it will not be written. */
    void release() {
        ReferenceCountUtil.release(request);
    }

    /** Closes the connection, which tells the endpoint that its response is no longer awaited. */
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

    @Override
    public Optional<Transport.ResponseProgress> responseProgress() {
        return connection == null || !written ? Optional.empty() : connection.responseProgress();
    }

    @Override
    public boolean passOnResponse() {
        return listener != null && written && connection.passOnResponse();
    }

    /** Notifies the listener of the result, unless it was already notified or the attempt was given up. */
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
