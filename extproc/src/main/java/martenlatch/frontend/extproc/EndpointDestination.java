package martenlatch.frontend.extproc;

import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;

/** An endpoint as decisions name it to proxies. */
public final class EndpointDestination {

    private final HeaderValueOption header;
    private final Struct metadata;
    private long latestWaitMs = -1;
    private ProcessingResponse latestDecision;

    /** Creates the destination for an address such as {@code 10.0.0.1:80}. */
    public EndpointDestination(String address) {
        header = ProcessingResponses.header(ProcessingResponses.DESTINATION, address);
        Value name = Value.newBuilder().setStringValue(address).build();
        Struct fields = Struct.newBuilder()
                .putFields(ProcessingResponses.DESTINATION, name)
                .build();
        metadata = Struct.newBuilder()
                .putFields(
                        ProcessingResponses.METADATA,
                        Value.newBuilder().setStructValue(fields).build())
                .build();
    }

    /**
     * The decision that the request goes there, and its response may take so long: whole milliseconds, rounded up. Most
     * times are the same few, and a message that was made before need not be measured again to be written.
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
