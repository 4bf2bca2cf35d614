package martenlatch.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request as it is forwarded to an endpoint.
 *
 * @param method the HTTP method
 * @param uri the request target
 * @param headers the headers to forward; the connection pool takes ownership of them
 * @param body the complete body if {@code streamedBody} is null
 * @param streamedBody the body that is forwarded while it is still being received, or null
 */
@SuppressWarnings("ArrayRecordComponent") // bodies are forwarded without a copy, and requests are not compared
public record OutgoingRequest(
        HttpMethod method, String uri, HttpHeaders headers, byte[] body, StreamedRequestBody streamedBody) {}
