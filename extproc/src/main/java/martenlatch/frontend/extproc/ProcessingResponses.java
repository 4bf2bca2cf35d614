package martenlatch.frontend.extproc;

import com.google.protobuf.ByteString;
import com.google.protobuf.Struct;
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
import martenlatch.frontend.RequestParser;

/** Creates the messages to proxies. */
public final class ProcessingResponses {

    /** The header that names the endpoint, as in the Gateway API's endpoint picker protocol. */
    static final String DESTINATION = "x-gateway-destination-endpoint";
    /** The namespace of dynamic metadata in which that protocol has the same. */
    static final String METADATA = "envoy.lb";
    /** Overrides the route's time-out at an Envoy router; whole milliseconds. */
    static final String TIMEOUT = "x-envoy-upstream-rq-timeout-ms";
    /** On a response: the proxy may retry the request, and is to ask again for it. */
    static final String RETRY = "x-martenlatch-retry";

    private static final String DEADLINE = RequestParser.DEADLINE_HEADER.toLowerCase(Locale.ROOT);

    /** Passes the response on unchanged. */
    public static final ProcessingResponse PASS = ProcessingResponse.newBuilder()
            .setResponseHeaders(HeadersResponse.getDefaultInstance())
            .build();

    private ProcessingResponses() {}

    /** A decision: the request goes to this endpoint, whose response is waited for so many milliseconds. */
    static ProcessingResponse decision(HeaderValueOption destination, Struct metadata, String waitMs) {
        return ProcessingResponse.newBuilder()
                .setRequestHeaders(HeadersResponse.newBuilder()
                        .setResponse(CommonResponse.newBuilder()
                                .setHeaderMutation(HeaderMutation.newBuilder()
                                        .addSetHeaders(destination)
                                        .addSetHeaders(header(DEADLINE, waitMs))
                                        .addSetHeaders(header(TIMEOUT, waitMs)))))
                .setDynamicMetadata(metadata)
                .build();
    }

    /** The proxy may retry the request; the status is what its client gets if the proxy does not. */
    static ProcessingResponse retriable(int status) {
        return ProcessingResponse.newBuilder()
                .setResponseHeaders(HeadersResponse.newBuilder()
                        .setResponse(CommonResponse.newBuilder()
                                .setHeaderMutation(HeaderMutation.newBuilder()
                                        .addSetHeaders(header(":status", Integer.toString(status)))
                                        .addSetHeaders(header(RETRY, "1")))))
                .build();
    }

    /** Rejected, with no effect; Retry-After has whole seconds (RFC 9110, 10.2.3), so they are rounded up. */
    static ProcessingResponse rejected(double retryAfterMs) {
        ImmediateResponse.Builder response = immediateResponse(503, "refused");
        if (retryAfterMs > 0) {
            response.setHeaders(HeaderMutation.newBuilder()
                    .addSetHeaders(header("retry-after", Long.toString((long) Math.ceil(retryAfterMs / 1000)))));
        }
        return ProcessingResponse.newBuilder().setImmediateResponse(response).build();
    }

    /** A response of the processor itself, with its reason in words. */
    static ProcessingResponse immediate(int status, String reason) {
        return ProcessingResponse.newBuilder()
                .setImmediateResponse(immediateResponse(status, reason))
                .build();
    }

    private static ImmediateResponse.Builder immediateResponse(int status, String reason) {
        return ImmediateResponse.newBuilder()
                .setStatus(HttpStatus.newBuilder().setCode(StatusCode.forNumber(status)))
                .setBody(ByteString.copyFromUtf8(reason + "\n"))
                .setDetails("martenlatch: " + reason);
    }

    static HeaderValueOption header(String name, String value) {
        return HeaderValueOption.newBuilder()
                .setHeader(HeaderValue.newBuilder().setKey(name).setRawValue(ByteString.copyFromUtf8(value)))
                .setAppendAction(HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD)
                .build();
    }
}
