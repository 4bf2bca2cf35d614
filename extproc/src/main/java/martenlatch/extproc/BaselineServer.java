package martenlatch.extproc;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.stub.StreamObserver;
import martenlatch.frontend.extproc.EndpointDestination;
import martenlatch.frontend.extproc.ProcessingResponses;

/**
 * A processor that decides nothing and answers every message with a constant: it shows what the gRPC stack costs, for
 * measurements beside the real processor.
 */
final class BaselineServer extends ExternalProcessorGrpc.ExternalProcessorImplBase {

    private static final ProcessingResponse DECISION = new EndpointDestination("127.0.0.1:1").decision(1000);

    @Override
    public StreamObserver<ProcessingRequest> process(StreamObserver<ProcessingResponse> out) {
        return new StreamObserver<>() {
            @Override
            public void onNext(ProcessingRequest message) {
                if (message.hasRequestHeaders()) {
                    out.onNext(DECISION);
                } else {
                    out.onNext(ProcessingResponses.PASS);
                    out.onCompleted();
                }
            }

            @Override
            public void onError(Throwable cause) {
                // The stream has ended, and nothing has to be released.
                return;
            }

            @Override
            public void onCompleted() {
                out.onCompleted();
            }
        };
    }
}
