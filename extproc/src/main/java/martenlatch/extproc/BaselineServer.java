package martenlatch.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.stub.StreamObserver;
import martenlatch.frontend.extproc.EndpointDestination;
import martenlatch.frontend.extproc.ProcessingResponses;

/**
 * A processor that answers every message with a constant. Its measurements show the cost of the gRPC stack alone, for
 * comparison with the real processor.
 */
final class BaselineServer extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    private static final ProcessingResponse FIXED_DECISION = new EndpointDestination("127.0.0.1:1").decision(1000);

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new StreamObserver<>() {
            @Override
            public void onNext(ProcessingRequest message) {
                if (message.hasRequestHeaders()) {
                    out.onNext(FIXED_DECISION);
                } else {
                    out.onNext(ProcessingResponses.PASS);
                    out.onCompleted();
                }
            }

            @Override
            public void onError(Throwable cause) {
                // The stream has ended, and there is nothing to release.
                return;
            }

            @Override
            public void onCompleted() {
                out.onCompleted();
            }
        };
    }
}
