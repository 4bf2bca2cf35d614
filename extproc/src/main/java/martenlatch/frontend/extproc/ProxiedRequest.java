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

/** One request of a proxy, through all of its attempts, each on a stream of its own. */
final class ProxiedRequest implements Transport, ResponseListener {

    private static final byte[] NO_BODY = {};

    private final Processor processor;
    private final String id;
    private final RequestClass requestClass;
    /** The stream that waits for a decision or the final answer, or null. */
    private ProcessingStream asking;
    /** The stream that has reported its result and waits for what to do with it, or null. */
    private ProcessingStream reporting;
    /** The stream that got the latest decision, or null. */
    private ProcessingStream holder;
    /** The attempt that a proxy makes, or null. */
    private ProxiedAttempt inFlight;
    /** The attempt that is decided on and waits for its stream, or null. */
    private ProxiedAttempt offered;
    /** Limits the wait for the next stream. */
    private Scheduler.Timer nextStreamTimer;
    /** The final answer, where it came while no stream waited for it. */
    private ProcessingResponse finalAnswer;

    private boolean timedOut;
    private boolean ended;
    /** The earliest time at which the request may have begun to execute; NaN if it surely has not. */
    private double mayHaveExecutedMs = Double.NaN;

    ProxiedRequest(Processor processor, String id, RequestClass requestClass, ProcessingStream asking) {
        this.processor = processor;
        this.id = id;
        this.requestClass = requestClass;
        this.asking = asking;
    }

    // ---- what the request tracker asks for ----

    @Override
    public Attempt send(String endpointId, WriteConditions conditions, double notAfterMs, AttemptListener listener) {
        ProxiedAttempt attempt = new ProxiedAttempt(this, endpointId, conditions, notAfterMs, listener);
        if (asking != null) {
            handOut(attempt);
        } else {
            offered = attempt;
            processor.history().onOffered(id);
            awaitNextStream(attempt, () -> {
                offered = null;
                attempt.finish(AttemptOutcome.NOT_EXECUTED, null);
            });
        }
        return attempt;
    }

    /** Waits for the next stream, no longer than the attempt: its time-out would count against the endpoint. */
    private void awaitNextStream(ProxiedAttempt attempt, Runnable onTimeout) {
        stopWaiting();
        double waitMs = Math.min(processor.settings().nextStreamMs(), attempt.remainingMs() - 1);
        nextStreamTimer = processor.scheduler().after(waitMs, () -> {
            nextStreamTimer = null;
            onTimeout.run();
        });
    }

    private void stopWaiting() {
        if (nextStreamTimer != null) {
            nextStreamTimer.cancel();
            nextStreamTimer = null;
        }
    }

    /** Gives an attempt to the proxy that asks, unless its endpoint takes nothing new any more. */
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
        ProcessingStream stream = asking;
        asking = null;
        holder = stream;
        inFlight = attempt;
        boolean isFirst = Double.isNaN(mayHaveExecutedMs);
        attempt.markHandedOut(isFirst);
        if (isFirst) {
            mayHaveExecutedMs = nowMs;
        }
        stream.sendDecision(this, destination.decision(attempt.remainingMs()));
    }

    /** Nobody waits for this attempt any more. */
    void onAttemptGivenUp(ProxiedAttempt attempt) {
        if (attempt == offered) {
            stopWaiting();
            offered = null;
        } else if (attempt == inFlight) {
            stopWaiting();
            inFlight = null;
            timedOut = true;
            if (holder.hasDecision()) {
                holder.limitWait();
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

    private void conclude(ProcessingResponse answer) {
        end();
        ProcessingStream waiting = asking != null ? asking : reporting;
        asking = null;
        reporting = null;
        if (waiting != null) {
            waiting.end(answer);
        } else {
            finalAnswer = answer;
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            stopWaiting();
            processor.remove(this);
            processor.history().onEnded(processor.scheduler().now(), id, requestClass, mayHaveExecutedMs);
        }
    }

    /** Ends the request without a final answer: its client is gone as far as can be told. */
    private void disconnect() {
        processor.requestTracker().onClientDisconnected(id);
        end();
    }

    String id() {
        return id;
    }

    // ---- what the proxies do ----

    /** A stream of a proxy asks for the next attempt. */
    void onNextStream(ProcessingStream stream) {
        stopWaiting();
        asking = stream;
        if (offered != null) {
            ProxiedAttempt attempt = offered;
            offered = null;
            handOut(attempt);
        } else if (inFlight != null) {
            // Nobody will tell its result: it may have executed, and says nothing about its endpoint.
            ProxiedAttempt lost = inFlight;
            inFlight = null;
            lost.finish(AttemptOutcome.CANCELED, null);
        }
        requireAnswer();
    }

    /** The load balancer decides at once; if it has failed to, the proxy must not be kept waiting. */
    void requireAnswer() {
        if (asking != null) {
            processor.logger().log("a stream without a decision", id);
            ProcessingStream stream = asking;
            asking = null;
            stream.end(failed());
        }
    }

    private static ProcessingResponse failed() {
        return ProcessingResponses.immediate(500, "failed");
    }

    /** A proxy reports the result of the attempt that its stream was given. */
    void onResult(ProcessingStream stream, ProcessingRequest message) {
        HeaderView head = new HeaderView(message.getResponseHeaders());
        int status = status(head.first(":status"));
        boolean notExecuted = "1".equals(head.first("x-not-run"));
        long flags = flags(message, head);
        AttemptOutcome outcome = ProxyOutcome.of(status, notExecuted, flags);
        if (stream != holder) {
            // Another stream has taken its place: its result is not the request's answer any more.
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
        reporting = stream;
        boolean isFromEndpoint = flags == 0;
        finished.finish(
                outcome, isFromEndpoint ? new EndpointResponse(status, notExecuted, false, null, NO_BODY) : null);
        if (reporting != null) {
            reporting = null;
            stream.end(offered != null ? retriable() : failed());
        }
    }

    /** The attempt was given up before: what was decided since holds, unless the result is good. */
    private void onLateResult(ProcessingStream stream, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.OK) {
            stream.end(ProcessingResponses.PASS);
            if (!ended) {
                disconnect();
            }
        } else if (offered != null) {
            stream.end(retriable());
        } else {
            stream.end(finalAnswer != null ? finalAnswer : failed());
        }
    }

    /** The status is the one that is true if the proxy does not come back. */
    private ProcessingResponse retriable() {
        return ProcessingResponses.retriable(Double.isNaN(mayHaveExecutedMs) ? 503 : 500);
    }

    /** A stream that had a decision has ended without a result. */
    void onStreamLost(ProcessingStream stream) {
        if (stream != holder || inFlight == null || ended) {
            return;
        }
        ProxiedAttempt lost = inFlight;
        processor.history().onStreamLost(id);
        awaitNextStream(lost, () -> {
            disconnect();
            if (inFlight == lost) {
                inFlight = null;
                lost.finish(AttemptOutcome.CANCELED, null);
            }
        });
    }

    private static int status(String text) {
        return text != null && text.length() == 3 && text.chars().allMatch(c -> c >= '0' && c <= '9')
                ? Integer.parseInt(text)
                : 0;
    }

    private static long flags(ProcessingRequest message, HeaderView head) {
        Struct attributes = message.getAttributesOrDefault(Processor.ATTRIBUTES, Struct.getDefaultInstance());
        Value number = attributes.getFieldsOrDefault(Processor.FLAGS_ATTRIBUTE, Value.getDefaultInstance());
        String words = head.first(Processor.FLAGS_HEADER);
        return (number.hasNumberValue() ? ProxyOutcome.flags(number.getNumberValue()) : 0)
                | (words == null ? 0 : ProxyOutcome.flags(words));
    }
}
