package martenlatch.frontend.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;

/** The address of an endpoint in the form in which decisions carry it. */
public final class EndpointDestination {

    private final HeaderValueOption header;
    private final Struct metadata;
    private long latestWaitMs = -1;
    private ProcessingResponse latestDecision;

    /** Creates the destination for an address such as {@code 10.0.0.1:80}. */
    public EndpointDestination(String address) {
        header = ProcessingResponses.header(ProcessingResponses.DESTINATION_HEADER, address);
        Value name = Value.newBuilder().setStringValue(address).build();
        Struct fields = Struct.newBuilder()
                .putFields(ProcessingResponses.DESTINATION_HEADER, name)
                .build();
        metadata = Struct.newBuilder()
                .putFields(
                        ProcessingResponses.METADATA_NAMESPACE,
                        Value.newBuilder().setStructValue(fields).build())
                .build();
    }

    /**
     * Returns the decision to send a request to this endpoint and to wait that long for the response, rounded up to
     * whole milliseconds. The latest message is cached: wait times repeat, and a reused message keeps its serialized
     * size.
     */
    public ProcessingResponse decision(double waitMs) {
        long wholeMs = Math.max(1, (long) Math.ceil(waitMs));
        if (wholeMs != latestWaitMs) {
            latestWaitMs = wholeMs;
            latestDecision = ProcessingResponses.decision(header, metadata, Long.toString(wholeMs));
        }
        return latestDecision;
    }
}
