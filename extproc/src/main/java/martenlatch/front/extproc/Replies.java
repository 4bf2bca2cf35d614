package martenlatch.front.extproc;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
import com.google.protobuf.Value;
import io.envoyproxy.envoy.config.core.v3.HeaderValue;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.config.core.v3.HeaderValueOption.HeaderAppendAction;
import io.envoyproxy.envoy.service.ext_proc.v3.CommonResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.HeaderMutation;
import io.envoyproxy.envoy.service.ext_proc.v3.HeadersResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ImmediateResponse;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.envoyproxy.envoy.type.v3.HttpStatus;
import io.envoyproxy.envoy.type.v3.StatusCode;
import java.util.Locale;
import martenlatch.front.CallReader;

/** The messages that a proxy gets. */
public final class Replies {

    /** Names the endpoint, as the Gateway API's endpoint picker protocol does. */
    static final String DESTINATION = "x-gateway-destination-endpoint";
    /** Where that protocol has the same as dynamic metadata. */
    static final String METADATA = "envoy.lb";
    /** Overrides the route's time-out at an Envoy router; whole milliseconds. */
    static final String TIMEOUT = "x-envoy-upstream-rq-timeout-ms";
    /** On a response: the proxy may send the request again, and is to ask again for it. */
    static final String RETRY = "x-martenlatch-retry";

    private static final String DEADLINE = CallReader.DEADLINE.toLowerCase(Locale.ROOT);

    /** The response goes on as it is. */
    public static final ProcessingResponse PASS = ProcessingResponse.newBuilder()
            .setResponseHeaders(HeadersResponse.getDefaultInstance())
            .build();

    /** An endpoint as decisions name it. */
    public static final class Destination {
        private final HeaderValueOption header;
        private final Struct metadata;
        private long latestWait = -1;
        private ProcessingResponse latest;

        /** Names an endpoint, {@code address} being like {@code 10.0.0.1:80}. */
        public Destination(String address) {
            header = Replies.header(DESTINATION, address);
            metadata = Struct.newBuilder()
                    .putFields(
                            METADATA,
                            Value.newBuilder()
                                    .setStructValue(Struct.newBuilder()
                                            .putFields(
                                                    DESTINATION,
                                                    Value.newBuilder()
                                                            .setStringValue(address)
                                                            .build()))
                                    .build())
                    .build();
        }

        /**
         * The request goes there, and the answer may take so long; whole milliseconds, rounded up. Most
         * waits are the same few, and a message made before need not be measured again to be written.
         */
        public ProcessingResponse decision(double waitMs) {
            long wait = Math.max(1, (long) Math.ceil(waitMs));
            if (wait != latestWait) {
                latestWait = wait;
                latest = send(this, Long.toString(wait));
            }
            return latest;
        }
    }

    private Replies() {}

    private static ProcessingResponse send(Destination to, String wait) {
        return ProcessingResponse.newBuilder()
                .setRequestHeaders(HeadersResponse.newBuilder()
                        .setResponse(CommonResponse.newBuilder()
                                .setHeaderMutation(HeaderMutation.newBuilder()
                                        .addSetHeaders(to.header)
                                        .addSetHeaders(header(DEADLINE, wait))
                                        .addSetHeaders(header(TIMEOUT, wait)))))
                .setDynamicMetadata(to.metadata)
                .build();
    }

    /** The response may be tried again; its status is what its client gets if the proxy does not. */
    static ProcessingResponse retriable(int status) {
        return ProcessingResponse.newBuilder()
                .setResponseHeaders(HeadersResponse.newBuilder()
                        .setResponse(CommonResponse.newBuilder()
                                .setHeaderMutation(HeaderMutation.newBuilder()
                                        .addSetHeaders(header(":status", Integer.toString(status)))
                                        .addSetHeaders(header(RETRY, "1")))))
                .build();
    }

    /** Turned away, with no effect; RFC 9110, section 10.2.3, has whole seconds, so they are rounded up. */
    static ProcessingResponse refusal(double coolDownMs) {
        ImmediateResponse.Builder made = immediate(503, "refused");
        if (coolDownMs > 0) {
            made.setHeaders(HeaderMutation.newBuilder()
                    .addSetHeaders(header("retry-after", Long.toString((long) Math.ceil(coolDownMs / 1000)))));
        }
        return ProcessingResponse.newBuilder().setImmediateResponse(made).build();
    }

    /** An answer of our own, with its reason in words. */
    static ProcessingResponse plain(int status, String why) {
        return ProcessingResponse.newBuilder()
                .setImmediateResponse(immediate(status, why))
                .build();
    }

    private static ImmediateResponse.Builder immediate(int status, String why) {
        return ImmediateResponse.newBuilder()
                .setStatus(HttpStatus.newBuilder().setCode(StatusCode.forNumber(status)))
                .setBody(ByteString.copyFromUtf8(why + "\n"))
                .setDetails("martenlatch: " + why);
    }

    private static HeaderValueOption header(String name, String value) {
        return HeaderValueOption.newBuilder()
                .setHeader(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)))
                .setAppendAction(HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
                .build();
    }
}
