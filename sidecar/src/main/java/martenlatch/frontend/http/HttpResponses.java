package martenlatch.frontend.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import martenlatch.request.EndpointResponse;

/** Factory methods for the responses to clients. */
final class HttpResponses {

    private HttpResponses() {}

    /** Returns the response to a request that failed, and may have been executed. */
    static FullHttpResponse failed() {
        return ofText(HttpResponseStatus.BAD_GATEWAY, "failed");
    }

    /** Returns a response whose body is one line of text. */
    static FullHttpResponse ofText(HttpResponseStatus status, String line) {
        return complete(status, Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.US_ASCII)));
    }

    /** Returns the response for a complete response of an endpoint. */
    static FullHttpResponse served(EndpointResponse response) {
        FullHttpResponse served = complete(HttpResponseStatus.OK, Unpooled.wrappedBuffer(response.body()));
        setContentType(served, response);
        return served;
    }

    /** Returns the head for an endpoint's response whose body is still being received. */
    static HttpResponse streamedHead(EndpointResponse response) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        setContentType(head, response);
        return head;
    }

    /** Returns a rejection, with a Retry-After header if {@code retryAfterMs} is above 0. */
    static FullHttpResponse rejected(double retryAfterMs) {
        FullHttpResponse rejection = ofText(HttpResponseStatus.SERVICE_UNAVAILABLE, "refused");
        if (retryAfterMs > 0) {
            rejection.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterMs));
        }
        return rejection;
    }

    /** Formats a time as seconds with three decimal places; a Formatter would double the cost of a rejection. */
    private static String formatSeconds(double ms) {
        long whole = Math.round(ms);
        return whole / 1000 + "." + Long.toString(1000 + whole % 1000).substring(1);
    }

    private static void setContentType(HttpResponse to, EndpointResponse from) {
        if (from.contentType() != null) {
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, from.contentType());
        }
    }

    private static FullHttpResponse complete(HttpResponseStatus status, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                status,
                body,
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                EmptyHttpHeaders.INSTANCE);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
    }
}
