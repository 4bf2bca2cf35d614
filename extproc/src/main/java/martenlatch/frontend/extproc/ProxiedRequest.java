package martenlatch.frontend.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointResponse;
import martenlatch.request.ResponseListener;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** A proxy's request with all of its attempts, each of which has its own stream. */
final class ProxiedRequest implements Transport, ResponseListener {

    private static final byte[] NO_BODY = {};

    private final Processor processor;
    private final String id;
    private final RequestClass requestClass;
    /** The stream that waits for a decision or for the final answer, or null. */
    private ProcessingStream waitingStream;
    /** The stream that has reported its result and waits for the processor's response to it, or null. */
    private ProcessingStream reportingStream;
    /** The stream that received the latest decision, or null. */
    private ProcessingStream decidedStream;
    /** The attempt that the proxy is making, or null. */
    private ProxiedAttempt inFlight;
    /** The attempt that was decided on and waits for the proxy to open a stream, or null. */
    private ProxiedAttempt offered;
    /** Limits the wait for the next stream; null while no wait is limited. */
    private Scheduler.Timer nextStreamTimer;
    /** The final answer, if it became known while no stream waited for it. */
    private ProcessingResponse finalAnswer;

    private boolean timedOut;
    private boolean ended;
    /** The earliest time at which the request may have begun to execute; NaN if it certainly has not. */
    private double mayHaveExecutedMs = Double.NaN;

    ProxiedRequest(Processor processor, String id, RequestClass requestClass, ProcessingStream waitingStream) {
        this.processor = processor;
        this.id = id;
        this.requestClass = requestClass;
        this.waitingStream = waitingStream;
    }

    // ---- called by the request tracker ----

    @Override
    public Attempt send(String endpointId, WriteConditions conditions, double notAfterMs, AttemptListener listener) {
        ProxiedAttempt attempt = new ProxiedAttempt(this, endpointId, conditions, notAfterMs, listener);
        if (waitingStream != null) {
            handOut(attempt);
        } else {
            offered = attempt;
            processor.history().onOffered(id);
            startNextStreamTimer(attempt, () -> {
                offered = null;
                attempt.finish(AttemptOutcome.NOT_EXECUTED, null);
            });
        }
        return attempt;
    }

    /**
     * Waits for the next stream, but ends before the attempt times out, because an attempt's time-out would count
     * against the endpoint.
     */
    private void startNextStreamTimer(ProxiedAttempt attempt, Runnable onTimeout) {
        cancelNextStreamTimer();
        double waitMs = Math.min(processor.settings().nextStreamMs(), attempt.remainingMs() - 1);
        nextStreamTimer = processor.scheduler().after(waitMs, () -> {
            nextStreamTimer = null;
            onTimeout.run();
        });
    }

    private void cancelNextStreamTimer() {
        if (nextStreamTimer != null) {
            nextStreamTimer.cancel();
            nextStreamTimer = null;
        }
    }

    /** Sends an attempt to the waiting stream, unless its endpoint no longer accepts new requests or it is too late. */
    private void handOut(ProxiedAttempt attempt) {
        EndpointDestination destination = processor.addresses().find(attempt.endpointId());
        if (destination == null) {
            attempt.finish(AttemptOutcome.CONNECT_ERROR, null);
            return;
        }
        double nowMs = processor.scheduler().now();
        if (attempt.isTooLate(nowMs)) {
            attempt.finish(AttemptOutcome.NOT_EXECUTED, null);
            return;
        }
        ProcessingStream stream = waitingStream;
        waitingStream = null;
        decidedStream = stream;
        inFlight = attempt;
        boolean isFirst = Double.isNaN(mayHaveExecutedMs);
        attempt.markHandedOut(isFirst);
        if (isFirst) {
            mayHaveExecutedMs = nowMs;
        }
        stream.sendDecision(this, destination.decision(attempt.remainingMs()));
    }

    /** Called when the request tracker no longer waits for this attempt. */
    void onAttemptGivenUp(ProxiedAttempt attempt) {
        if (attempt == offered) {
            cancelNextStreamTimer();
            offered = null;
        } else if (attempt == inFlight) {
            cancelNextStreamTimer();
            inFlight = null;
            timedOut = true;
            if (decidedStream.hasDecision()) {
                decidedStream.startResultTimeout();
            }
        }
    }

    @Override
    public void onServed(EndpointResponse response) {
        conclude(ProcessingResponses.PASS);
    }

    @Override
    public void onInvalidRequest(int status) {
        conclude(ProcessingResponses.PASS);
    }

    @Override
    public void onRejected(double retryAfterMs) {
        conclude(ProcessingResponses.rejected(retryAfterMs));
    }

    @Override
    public void onFailed() {
        conclude(ProcessingResponses.immediate(timedOut ? 504 : 500, "failed"));
    }

    /** Ends the request and sends the final answer, or keeps it until a stream reports a late result. */
    private void conclude(ProcessingResponse answer) {
        end();
        ProcessingStream recipient = waitingStream != null ? waitingStream : reportingStream;
        waitingStream = null;
        reportingStream = null;
        if (recipient != null) {
            recipient.end(answer);
        } else {
            finalAnswer = answer;
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            cancelNextStreamTimer();
            processor.remove(this);
            processor.history().onEnded(processor.scheduler().now(), id, requestClass, mayHaveExecutedMs);
        }
    }

    /** Ends the request without a final answer, treating its client as disconnected. */
    private void endAsDisconnected() {
        processor.requestTracker().onClientDisconnected(id);
        end();
    }

    String id() {
        return id;
    }

    // ---- called by streams and the processor ----

    /** Called when the proxy opens a stream for the next attempt. */
    void onNextStream(ProcessingStream stream) {
        cancelNextStreamTimer();
        waitingStream = stream;
        if (offered != null) {
            ProxiedAttempt attempt = offered;
            offered = null;
            handOut(attempt);
        } else if (inFlight != null) {
            // No result of this attempt will be reported: it may have executed, and must not count against its
            // endpoint.
            ProxiedAttempt lost = inFlight;
            inFlight = null;
            lost.finish(AttemptOutcome.CANCELED, null);
        }
        requireAnswer();
    }

    /** Fails the waiting stream if the load balancer, which decides synchronously, has made no decision. */
    void requireAnswer() {
        if (waitingStream != null) {
            processor.logger().log("a stream without a decision", id);
            ProcessingStream stream = waitingStream;
            waitingStream = null;
            stream.end(failed());
        }
    }

    private static ProcessingResponse failed() {
        return ProcessingResponses.immediate(500, "failed");
    }

    /** Called when a proxy reports the result of the attempt that it received on this stream. */
    void onResult(ProcessingStream stream, ProcessingRequest message) {
        HeaderView head = new HeaderView(message.getResponseHeaders());
        int status = parseStatus(head.first(":status"));
        boolean notExecuted = "1".equals(head.first("x-not-run"));
        long flags = readFlags(message, head);
        AttemptOutcome outcome = ProxyOutcome.of(status, notExecuted, flags);
        if (stream != decidedStream) {
            // A later stream has replaced this one, whose result no longer decides the request's answer.
            stream.end(outcome == AttemptOutcome.OK ? ProcessingResponses.PASS : failed());
            return;
        }
        if (inFlight == null) {
            onLateResult(stream, outcome);
            return;
        }
        ProxiedAttempt finished = inFlight;
        inFlight = null;
        timedOut = outcome == AttemptOutcome.TIMED_OUT;
        if (outcome.neverExecuted() && finished.isFirst()) {
            mayHaveExecutedMs = Double.NaN;
        }
        reportingStream = stream;
        boolean isFromEndpoint = flags == 0;
        finished.finish(
                outcome, isFromEndpoint ? new EndpointResponse(status, notExecuted, false, null, NO_BODY) : null);
        if (reportingStream != null) {
            reportingStream = null;
            stream.end(offered != null ? retriable() : failed());
        }
    }

    /** Handles the result of an attempt that was given up: later decisions stand unless the result is a success. */
    private void onLateResult(ProcessingStream stream, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.OK) {
            stream.end(ProcessingResponses.PASS);
            if (!ended) {
                endAsDisconnected();
            }
        } else if (offered != null) {
            stream.end(retriable());
        } else {
            stream.end(finalAnswer != null ? finalAnswer : failed());
        }
    }

    /** Allows a retry, with the status that is correct if the proxy does not retry. */
    private ProcessingResponse retriable() {
        return ProcessingResponses.retriable(Double.isNaN(mayHaveExecutedMs) ? 503 : 500);
    }

    /** Called when a stream that had received a decision has ended without a result. */
    void onStreamLost(ProcessingStream stream) {
        if (stream != decidedStream || inFlight == null || ended) {
            return;
        }
        ProxiedAttempt lost = inFlight;
        processor.history().onStreamLost(id);
        startNextStreamTimer(lost, () -> {
            endAsDisconnected();
            if (inFlight == lost) {
                inFlight = null;
                lost.finish(AttemptOutcome.CANCELED, null);
            }
        });
    }

    private static int parseStatus(String text) {
        return text != null && text.length() == 3 && text.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Integer.parseInt(text)
                : 0;
    }

    private static long readFlags(ProcessingRequest message, HeaderView head) {
        Struct attributes = message.getAttributesOrDefault(Processor.ATTRIBUTES, Struct.getDefaultInstance());
        Value flagBits = attributes.getFieldsOrDefault(Processor.FLAGS_ATTRIBUTE, Value.getDefaultInstance());
        String flagText = head.first(Processor.FLAGS_HEADER);
        return (flagBits.hasNumberValue() ? ProxyOutcome.flags(flagBits.getNumberValue()) : 0)
                | (flagText == null ? 0 : ProxyOutcome.flags(flagText));
    }
}
