package martenlatch.upstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.Transport;

/** Sends the attempts of one request over HTTP/1.1 on connections of the pool. */
final class HttpTransport implements Transport {

    /** A longer body is written in parts, so that one part at a time is copied to direct memory. */
    private static final int MAX_BODY_BYTES_WRITTEN_AT_ONCE = 16 * 1024;

    /** The handle of an attempt that ended without being sent. */
    private static final Transport.Attempt NOT_STARTED = new Transport.Attempt() {
        @Override
        public boolean giveUp() {
            return false;
        }

        @Override
        public boolean withdraw() {
            return false;
        }
    };

    private final EndpointPool pool;
    private final OutgoingRequest request;
    /** Whether an earlier attempt owns the headers, so that the next one needs a copy. */
    private boolean headersUsed;

    HttpTransport(EndpointPool pool, OutgoingRequest request) {
        this.pool = pool;
        this.request = request;
    }

    @Override
    public Transport.Attempt send(
            String endpointId, WriteConditions conditions, double notAfterMs, AttemptListener listener) {
        if (request.streamedBody() != null && !request.streamedBody().isAvailableFromStart()) {
            // Part of the body has been forwarded already, so nothing can be sent. The endpoint is not at fault.
            listener.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
            return NOT_STARTED;
        }
        StreamedRequestBody streamedBody = streamedBody();
        EndpointAttempt attempt = new EndpointAttempt(
                buildHttpRequest(streamedBody), streamedBody, conditions, notAfterMs, pool.scheduler(), listener);
        pool.send(endpointId, attempt);
        return attempt;
    }

    /** Returns the body if it is written in parts, as it is still being received or as it is long; else null. */
    private StreamedRequestBody streamedBody() {
        boolean isLong = request.body().length > MAX_BODY_BYTES_WRITTEN_AT_ONCE;
        return isLong ? StreamedRequestBody.complete(request.body()) : request.streamedBody();
    }

    private HttpRequest buildHttpRequest(StreamedRequestBody streamedBody) {
        // The first attempt uses the original headers; only the few requests with further attempts need a copy.
        HttpHeaders headers = headersUsed ? request.headers().copy() : request.headers();
        headersUsed = true;
        if (streamedBody != null) {
            return buildStreamedRequest(headers, streamedBody);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private HttpRequest buildStreamedRequest(HttpHeaders headers, StreamedRequestBody streamedBody) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers);
        long length = streamedBody.length();
        if (length >= 0) {
            HttpUtil.setContentLength(head, length);
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        return head;
    }
}
