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

/** Sends the attempts of one request over HTTP/1.1, on connections of the pool. */
final class HttpTransport implements Transport {

    /** An attempt that ended before it began. */
    private static final Transport.Attempt NEVER_BEGUN = new Transport.Attempt() {
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
    private boolean headersUsed;

    HttpTransport(EndpointPool pool, OutgoingRequest request) {
        this.pool = pool;
        this.request = request;
    }

    @Override
    public Transport.Attempt send(
            String endpointId, WriteConditions conditions, double notAfterMs, AttemptListener listener) {
        if (request.streamedBody() != null && !request.streamedBody().isFresh()) {
            // Part of the body has been forwarded already: nothing is sent, and the endpoint is not to blame.
            listener.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
            return NEVER_BEGUN;
        }
        EndpointAttempt attempt = new EndpointAttempt(
                message(), request.streamedBody(), conditions, notAfterMs, pool.scheduler(), listener);
        pool.send(endpointId, attempt);
        return attempt;
    }

    private HttpRequest message() {
        // Few requests need a second attempt: only those copy the headers.
        HttpHeaders headers = headersUsed ? request.headers().copy() : request.headers();
        headersUsed = true;
        if (request.streamedBody() != null) {
            return streamedMessage(headers);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                request.method(),
                request.uri(),
                Unpooled.wrappedBuffer(request.body()),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }

    private HttpRequest streamedMessage(HttpHeaders headers) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri(), headers);
        long length = request.streamedBody().length();
        if (length >= 0) {
            HttpUtil.setContentLength(head, length);
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        return head;
    }
}
