package martenlatch.frontend.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/** One stream of a proxy: it brings a request, gets a decision, reports the result, and ends once. */
final class ProcessingStream implements StreamObserver<ProcessingRequest> {

    private enum State {
        /** Nothing has been received. */
        OPENED,
        /** The head of its request was received and waits for a decision. */
        WAITING,
        /** It has got a decision to send the request. */
        DECIDED,
        /** It has got its last message, or has ended by itself. */
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
        out.setOnCancelHandler(this::onBroken);
        if (!processor.onStreamOpened()) {
            fail(Status.RESOURCE_EXHAUSTED.withDescription(
                    "max-streams (" + processor.settings().maxStreams() + ") are open"));
        } else {
            processor.idleStreams().watch(idleEntry);
        }
    }

    /** Its attempt's time is over: the result must be reported within the time that a stream may be silent. */
    void limitWait() {
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
        onBroken();
    }

    @Override
    public void onCompleted() {
        if (state != State.ENDED) {
            onBroken();
            out.onCompleted();
        }
    }

    /** The stream has ended, or is ended, before its proxy reported a result. */
    private void onBroken() {
        if (state == State.ENDED) {
            return;
        }
        State last = state;
        HttpHeaders undecided = head;
        close();
        if (last == State.DECIDED) {
            request.onStreamLost(this);
        } else if (last == State.WAITING) {
            processor.onRequestWithdrawn(undecided);
        }
    }

    private void close() {
        processor.idleStreams().forget(idleEntry);
        state = State.ENDED;
        head = null;
        processor.onStreamClosed();
    }

    /** Ends the stream with an error. */
    void fail(Status status) {
        if (state != State.ENDED) {
            onBroken();
            out.onError(status.asRuntimeException());
        }
    }

    /** The head of its request, which is parsed now. */
    HttpHeaders takeHead() {
        HttpHeaders taken = head;
        head = null;
        return taken;
    }

    /** Whether it still waits for a decision. */
    boolean isWaiting() {
        return state == State.WAITING;
    }

    /** Whether it has got a decision, and not reported a result yet. */
    boolean hasDecision() {
        return state == State.DECIDED;
    }

    /** Sends a decision; the proxy is to report the result of the attempt. */
    void sendDecision(ProxiedRequest decided, ProcessingResponse decision) {
        request = decided;
        state = State.DECIDED;
        out.onNext(decision);
    }

    /** Sends the last message of the stream. */
    void end(ProcessingResponse last) {
        if (state != State.ENDED) {
            close();
            out.onNext(last);
            out.onCompleted();
        }
    }
}
