package martenlatch.frontend.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import martenlatch.frontend.http.RequestEvent.BodyComplete;
import martenlatch.frontend.http.RequestEvent.CompleteRequest;
import martenlatch.frontend.http.RequestEvent.InvalidInput;
import martenlatch.frontend.http.RequestEvent.StreamedRequest;
import martenlatch.net.CollectedBytes;
import martenlatch.net.MemoryBudget;
import martenlatch.net.MemoryBudget.Use;
import martenlatch.upstream.StreamedRequestBody;

/**
 * Converts decoded HTTP objects into {@link RequestEvent}s. A request is emitted with its complete body; if the body is
 * large or the memory budget is exhausted, it is emitted early and its body is streamed while it is received.
 */
final class RequestBodyCollector extends ChannelInboundHandlerAdapter {

    /** The longest body that is accepted, in bytes. */
    static final long MAX_BODY_BYTES = 32 * 1024 * 1024;
    /** The longest body that is collected before its request is forwarded, in bytes. */
    private static final int MAX_COLLECTED_BYTES = 1024 * 1024;

    private static final InvalidInput TOO_LARGE =
            new InvalidInput(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");

    private static final InvalidInput MEMORY_SHORT =
            new InvalidInput(HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for the request");

    private final ConnectionGuard guard;
    private final MemoryBudget memory;
    private final RequestHeadersFactory headersFactory;
    private final RequestHeadersFactory trailersFactory;
    private final StreamedRequestBody.Source client;
    private HttpRequest head;
    /** The headers of that request until it is emitted, whose memory is then released by its receiver; or null. */
    private RequestHeaders headMemory;
    /** Whether the request keeps the connection alive; read early, as forwarding removes hop-by-hop headers. */
    private boolean keepAlive;

    /** The part of the body collected so far; null if no body is being collected. */
    private CollectedBytes collected;
    /** The body that is being streamed, or null. */
    private StreamedRequestBody streamedBody;

    /** The number of bytes received of the streamed body. */
    private long streamedBytes;
    /** Whether the client waits for {@code 100 Continue}. */
    private boolean continuePending;
    /** Whether all further input is discarded. */
    private boolean stopped;

    /** Creates a collector that pauses {@code client} when a body arrives faster than it can be forwarded. */
    RequestBodyCollector(
            ConnectionGuard guard,
            MemoryBudget memory,
            RequestHeadersFactory headersFactory,
            RequestHeadersFactory trailersFactory,
            StreamedRequestBody.Source client) {
        this.guard = guard;
        this.memory = memory;
        this.headersFactory = headersFactory;
        this.trailersFactory = trailersFactory;
        this.client = client;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!stopped
                    && message instanceof HttpObject part
                    && part.decoderResult().isFailure()) {
                reject(ctx, toInvalidInput(part.decoderResult().cause()));
            }
            if (!stopped && message instanceof HttpRequest request) {
                onHead(ctx, request);
            }
            if (!stopped && message instanceof HttpContent content) {
                onContent(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static InvalidInput toInvalidInput(Throwable cause) {
        if (cause instanceof MemoryShortageException) {
            return MEMORY_SHORT;
        }
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        return tooLong
                ? new InvalidInput(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
                : new InvalidInput(HttpResponseStatus.BAD_REQUEST, "malformed request");
    }

    private void onHead(ChannelHandlerContext ctx, HttpRequest request) {
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        long length = HttpUtil.getContentLength(request, 0L);
        if (hasAmbiguousFraming(request.headers())) {
            reject(ctx, new InvalidInput(HttpResponseStatus.BAD_REQUEST, "ambiguous framing"));
        } else if (length > MAX_BODY_BYTES) {
            reject(ctx, TOO_LARGE);
        } else if (expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
            reject(ctx, new InvalidInput(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation"));
        } else {
            head = request;
            headMemory = headersFactory.takeComplete();
            keepAlive = HttpUtil.isKeepAlive(request);
            guard.onHeadComplete();
            continuePending = expectation != null;
            streamedBytes = 0;
            collected = new CollectedBytes(
                    memory, Use.REQUEST_BODY, MAX_COLLECTED_BYTES, HttpUtil.getContentLength(request, -1L));
            if (length > MAX_COLLECTED_BYTES) {
                startStreaming(ctx);
            } else {
                sendContinue();
            }
        }
    }

    /** Returns whether the end of the body is ambiguous, which would allow request smuggling. */
    private static boolean hasAmbiguousFraming(HttpHeaders headers) {
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return false;
        }
        return codings.size() > 1
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    }

    private void sendContinue() {
        if (continuePending) {
            continuePending = false;
            client.onSinkAttached();
        }
    }

    private void onContent(ChannelHandlerContext ctx, HttpContent content) {
        ByteBuf bytes = content.content();
        boolean streams = streamedBody != null || !collected.tryAppend(bytes);
        if (streams && streamedBody == null) {
            startStreaming(ctx);
        }
        // Starting to stream the body may have led to a response, which stops this collector.
        if (stopped) {
            return;
        }
        if (streams && bytes.isReadable()) {
            streamedBytes += bytes.readableBytes();
            if (streamedBytes > MAX_BODY_BYTES) {
                reject(ctx, TOO_LARGE);
                return;
            }
            if (!streamedBody.forwardsImmediately() && !memory.canHold(Use.REQUEST_BODY, bytes.readableBytes())) {
                reject(ctx, MEMORY_SHORT);
                return;
            }
            client.onBytesReceived(streamedBytes);
            // The bytes may wait for the endpoint.
            streamedBody.offer(CollectedBytes.compact(bytes.retain(), memory, Use.REQUEST_BODY));
        }
        if (content instanceof LastHttpContent) {
            onBodyComplete(ctx);
        }
    }

    private void onBodyComplete(ChannelHandlerContext ctx) {
        // Nothing is read after a request that closes the connection.
        stopped = !keepAlive;
        HttpRequest request = head;
        head = null;
        trailersFactory.releaseIncomplete();
        if (streamedBody != null) {
            StreamedRequestBody complete = streamedBody;
            streamedBody = null;
            ctx.fireChannelRead(new BodyComplete());
            complete.complete();
        } else {
            byte[] body = collected.take();
            collected = null;
            ctx.fireChannelRead(new CompleteRequest(request, takeHeadMemory(), body));
        }
    }

    /** Switches from collecting to streaming the body, beginning with the part collected so far. */
    private void startStreaming(ChannelHandlerContext ctx) {
        streamedBody = new StreamedRequestBody(HttpUtil.getContentLength(head, -1L), new StreamedRequestBody.Source() {
            @Override
            public void setPaused(boolean paused) {
                client.setPaused(paused);
            }

            @Override
            public void onSinkAttached() {
                sendContinue();
            }
        });
        streamedBytes = collected.size();
        if (streamedBytes > 0) {
            streamedBody.offer(collected.takeBuffer());
        }
        releaseCollected();
        ctx.fireChannelRead(new StreamedRequest(head, takeHeadMemory(), streamedBody));
    }

    private RequestHeaders takeHeadMemory() {
        RequestHeaders taken = headMemory;
        headMemory = null;
        return taken;
    }

    private void releaseCollected() {
        if (collected != null) {
            collected.release();
            collected = null;
        }
    }

    /** Discards all further input of this connection and aborts the body that is being received. */
    void stop() {
        stopped = true;
        releaseCollected();
        headersFactory.releaseIncomplete();
        trailersFactory.releaseIncomplete();
        if (headMemory != null) {
            takeHeadMemory().release();
        }
        head = null;
        if (streamedBody != null) {
            StreamedRequestBody aborted = streamedBody;
            streamedBody = null;
            aborted.abort();
        }
    }

    private void reject(ChannelHandlerContext ctx, InvalidInput invalid) {
        stop();
        ctx.fireChannelRead(invalid);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != ConnectionGuard.REQUEST_TIMEOUT) {
            ctx.fireUserEventTriggered(event);
        } else if (!stopped) {
            reject(ctx, new InvalidInput(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stop();
        ctx.fireChannelInactive();
    }
}
