package martenlatch.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request as it is forwarded to an endpoint.
 *
 * @param method the HTTP method
 * @param uri the request target
 * @param headers the headers to forward; owned by the connection pool from here on
 * @param body the complete body where {@code streamedBody} is null
 * @param streamedBody forwards the body while it is still being received, or null
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are forwarded without a copy, and requests are not compared
public record OutgoingRequest(
        HttpMethod method, String uri, HttpHeaders headers, byte[] body, StreamedRequestBody streamedBody) {}
