package martenlatch.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.stub.StreamObserver;
import martenlatch.front.extproc.Replies;

/**
 * A processor that decides nothing and answers every message with a constant: what the stack under the real
 * one costs, for measurements beside it.
 */
final class Floor extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    private static final ProcessingResponse SEND = new Replies.Destination("127.0.0.1:1").decision(1000);

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new StreamObserver<>() {
            @Override
            public void onNext(ProcessingRequest message) {
                if (message.hasRequestHeaders()) {
                    out.onNext(SEND);
                } else {
                    out.onNext(Replies.PASS);
                    out.onCompleted();
                }
            }

            @Override
            public void onError(Throwable cause) {
                // The stream has ended; there is nothing to let go of.
                return;
            }

            @Override
            public void onCompleted() {
                out.onCompleted();
            }
        };
    }
}
