package martenlatch.frontend.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/**
 * A proxy's gRPC stream for one attempt: the proxy sends the request headers, receives a decision and reports the
 * result. The stream is closed exactly once.
 */
final class ProcessingStream implements StreamObserver<ProcessingRequest> {

    private enum State {
        /** Nothing has been received yet. */
        OPENED,
        /** The request headers were received; the decision is pending. */
        WAITING,
        /** A decision was sent; the result is pending. */
        DECIDED,
        /** The last message was sent, or the stream was cancelled or failed. */
        ENDED
    }

    private final Processor processor;
    private final ServerCallStreamObserver<ProcessingResponse> out;
    private State state = State.OPENED;
    private HttpHeaders head;
    private ProxiedRequest request;
    private final IdleStreamMonitor.Entry idleEntry = new IdleStreamMonitor.Entry(this::onIdleTimeout);
    private String idleReason = "nothing was said within silence-ms";

    ProcessingStream(Processor processor, ServerCallStreamObserver<ProcessingResponse> out) {
        this.processor = processor;
        this.out = out;
        out.setOnCancelHandler(this::abort);
        if (!processor.onStreamOpened()) {
            fail(Status.RESOURCE_EXHAUSTED.withDescription(
                    "max-streams (" + processor.settings().maxStreams() + ") are open"));
        } else {
            processor.idleStreams().watch(idleEntry);
        }
    }

    /** Called when the attempt has timed out; the proxy must report the result within the idle time-out. */
    void startResultTimeout() {
        idleReason = "no response_headers within silence-ms after the attempt's time-out";
        processor.idleStreams().watch(idleEntry);
    }

    private void onIdleTimeout() {
        fail(Status.DEADLINE_EXCEEDED.withDescription(idleReason));
    }

    @Override
    public void onNext(ProcessingRequest message) {
        if (state == State.ENDED) {
            return;
        }
        if (message.getObservabilityMode()) {
            fail(Status.FAILED_PRECONDITION.withDescription(
                    "observability_mode is set: a proxy that does not wait for decisions cannot be served"));
        } else if (message.hasRequestHeaders() && state == State.OPENED) {
            processor.idleStreams().forget(idleEntry);
            state = State.WAITING;
            head = message.getRequestHeaders();
            processor.onRequest(this);
        } else if (message.hasResponseHeaders() && state == State.DECIDED) {
            processor.idleStreams().forget(idleEntry);
            request.onResult(this, message);
        } else {
            fail(Status.INVALID_ARGUMENT.withDescription(message.getRequestCase() + " is out of order or "
                    + "was not asked for: one request_headers, then one response_headers"));
        }
    }

    @Override
    public void onError(Throwable cause) {
        abort();
    }

    @Override
    public void onCompleted() {
        if (state != State.ENDED) {
            abort();
            out.onCompleted();
        }
    }

    /** Closes the stream before a result was reported, whichever side ended it. */
    private void abort() {
        if (state == State.ENDED) {
            return;
        }
        State previousState = state;
        HttpHeaders undecidedHead = head;
        close();
        if (previousState == State.DECIDED) {
            request.onStreamLost(this);
        } else if (previousState == State.WAITING) {
            processor.onRequestWithdrawn(undecidedHead);
        }
    }

    /** Marks the stream as ended and releases its resources. */
    private void close() {
        processor.idleStreams().forget(idleEntry);
        state = State.ENDED;
        head = null;
        processor.onStreamClosed();
    }

    /** Ends the stream with an error; does nothing if it has ended. */
    void fail(Status status) {
        if (state != State.ENDED) {
            abort();
            out.onError(status.asRuntimeException());
        }
    }

    /** Returns the request headers and drops the stream's reference to them. */
    HttpHeaders takeHead() {
        HttpHeaders taken = head;
        head = null;
        return taken;
    }

    /** Returns whether the decision is pending. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /** Returns whether a decision was sent and no result was reported yet. */
    boolean hasDecision() {
        return state == State.DECIDED;
    }

    /** Sends a decision, after which the proxy is expected to report the attempt's result. */
    void sendDecision(ProxiedRequest decided, ProcessingResponse decision) {
        request = decided;
        state = State.DECIDED;
        out.onNext(decision);
    }

    /** Sends the last message and completes the stream; does nothing if the stream has ended. */
    void end(ProcessingResponse last) {
        if (state != State.ENDED) {
            close();
            out.onNext(last);
            out.onCompleted();
        }
    }
}
