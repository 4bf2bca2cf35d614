package martenlatch.front.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.HttpHeaders;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/** One stream: what it has said, what it holds, and its one end. */
final class Consultation implements StreamObserver<ProcessingRequest> {

    private enum State {
        /** It has said nothing. */
        SILENT,
        /** Its request's head is here and not looked at yet. */
        WAITS,
        /** It holds a decision to send. */
        DECIDED,
        /** It has had its last message, or has ended by itself. */
        OVER
    }

    private final Processor front;
    private final ServerCallStreamObserver<ProcessingResponse> out;
    private State state = State.SILENT;
    private HttpHeaders head;
    private ProxyCall call;
    private final SilentStreams.Place silence = new SilentStreams.Place(this::silent);
    private String whatWasAwaited = "nothing was said within silence-ms";

    Consultation(Processor front, ServerCallStreamObserver<ProcessingResponse> out) {
        this.front = front;
        this.out = out;
        out.setOnCancelHandler(this::broke);
        if (!front.opened()) {
            fail(Status.RESOURCE_EXHAUSTED.withDescription("max-streams (" + front.own.mostStreams() + ") are open"));
        } else {
            front.silences.watch(silence);
        }
    }

    /** Its attempt's time is over: what came of it must be told within the silence that is allowed. */
    void limitWait() {
        whatWasAwaited = "no response_headers within silence-ms after the attempt's time-out";
        front.silences.watch(silence);
    }

    private void silent() {
        fail(Status.DEADLINE_EXCEEDED.withDescription(whatWasAwaited));
    }

    @Override
    public void onNext(ProcessingRequest message) {
        if (state == State.OVER) {
            return;
        }
        if (message.getObservabilityMode()) {
            fail(Status.FAILED_PRECONDITION.withDescription(
                    "observability_mode is set: a proxy that does not wait for decisions cannot be served"));
        } else if (message.hasRequestHeaders() && state == State.SILENT) {
            front.silences.forget(silence);
            state = State.WAITS;
            head = message.getRequestHeaders();
            front.asks(this);
        } else if (message.hasResponseHeaders() && state == State.DECIDED) {
            front.silences.forget(silence);
            call.responded(this, message);
        } else {
            fail(Status.INVALID_ARGUMENT.withDescription(message.getRequestCase() + " is out of order or "
                    + "was not asked for: one request_headers, then one response_headers"));
        }
    }

    @Override
    public void onError(Throwable cause) {
        broke();
    }

    @Override
    public void onCompleted() {
        if (state != State.OVER) {
            broke();
            out.onCompleted();
        }
    }

    /** The stream has ended, or is ended, before its proxy told what came of it. */
    private void broke() {
        if (state == State.OVER) {
            return;
        }
        State last = state;
        HttpHeaders undecided = head;
        close();
        if (last == State.DECIDED) {
            call.lost(this);
        } else if (last == State.WAITS) {
            front.givenUp(undecided);
        }
    }

    private void close() {
        front.silences.forget(silence);
        state = State.OVER;
        head = null;
        front.closed();
    }

    void fail(Status status) {
        if (state != State.OVER) {
            broke();
            out.onError(status.asRuntimeException());
        }
    }

    /** Its request's head, which is looked at now. */
    HttpHeaders takeHead() {
        HttpHeaders taken = head;
        head = null;
        return taken;
    }

    /** Whether it still wants to know what to do with its request. */
    boolean waits() {
        return state == State.WAITS;
    }

    /** Whether it holds a decision to send. */
    boolean isDecided() {
        return state == State.DECIDED;
    }

    /** Writes a decision to send; the proxy is to come back with what came of it. */
    void decided(ProxyCall by, ProcessingResponse decision) {
        call = by;
        state = State.DECIDED;
        out.onNext(decision);
    }

    /** Writes the last message of the stream. */
    void end(ProcessingResponse last) {
        if (state != State.OVER) {
            close();
            out.onNext(last);
            out.onCompleted();
        }
    }
}
