package martenlatch.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;

/**
 * Decodes the one response that a connection to an endpoint waits for. A short response is reported once all bytes
 * that arrived with it are read, so that bytes that don't belong to it are never taken for the next one. A long one
 * is reported at its first bytes and streamed.
 */
public final class ResponseDecoder extends ChannelInboundHandlerAdapter {

    /** The largest body that is collected before it is reported, in bytes. */
    public static final int MAX_COLLECTED_BODY_BYTES = 64 * 1024;
    /** The largest body that is streamed, in bytes: a longer one is not a response of such a service. */
    public static final long MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024;

    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Hears what is decoded. */
    public interface Listener {
        /** A response is complete; {@code clean} if nothing arrived with it, so that its connection may be kept. */
        void onResponse(EndpointResponse response, boolean clean);

        /** A long response has started; it has a {@link EndpointResponse#remainingBody}. */
        void onStreamedResponseStarted(EndpointResponse response);

        /** The long response is complete; {@code clean} as above. */
        void onStreamedResponseEnded(boolean clean);

        /** Reads on from the connection, or stops reading. */
        void setReading(boolean reading);

        /** What arrived is not a response, or was not asked for: the connection is of no further use. */
        void onInvalidResponse();
    }

    private final Listener listener;
    private final Scheduler scheduler;
    private final StrictHttpResponseDecoder httpDecoder = new StrictHttpResponseDecoder();
    private boolean expecting;
    private boolean invalid;
    private HttpResponse head;
    private ByteBuf body;
    private int interimResponses;
    /** The response that is complete, until the present read is complete too. */
    private EndpointResponse complete;
    /** More has arrived with the response than belongs to it. */
    private boolean surplus;
    /** The response that is being streamed, or null. */
    private StreamedResponse streamed;

    private long streamedBytes;
    private boolean streamComplete;
    /** The connection is broken: its end does not end a response. */
    private boolean broken;

    /** Creates a decoder for one connection. */
    public ResponseDecoder(Listener listener, Scheduler scheduler) {
        this.listener = listener;
        this.scheduler = scheduler;
    }

    /** Adds the handlers that decode responses to a connection's pipeline. */
    public void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new ByteGate(), httpDecoder, this);
    }

    /** A request has been written: from here on the bytes that arrive may be its response. */
    public void expectResponse() {
        expecting = true;
    }

    private boolean isComplete() {
        return complete != null || streamComplete;
    }

    /** Sees bytes before the HTTP decoder does, which keeps half a line to itself. */
    private final class ByteGate extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (expecting && !isComplete()) {
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            if (isComplete()) {
                surplus = true;
            } else {
                reportInvalid();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            broken |= cause instanceof IOException;
            ctx.fireExceptionCaught(cause);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!invalid) {
                onMessage(message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onMessage(Object message) {
        if (isComplete()) {
            surplus = true;
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(response);
        }
        if (head != null && message instanceof HttpContent content) {
            onContent(content);
        }
    }

    private void onHead(HttpResponse response) {
        if (response.decoderResult().isFailure() || !isAcceptable(response)) {
            reportInvalid();
            return;
        }
        releaseBody();
        head = response;
        body = Unpooled.buffer();
        boolean isLong = HttpUtil.getContentLength(response, 0L) > MAX_COLLECTED_BODY_BYTES;
        if (response.status().code() == HttpResponseStatus.OK.code() && isLong) {
            startStreaming();
        }
    }

    /** Whether a head can be that of a response, and tells where the response ends. */
    private boolean isAcceptable(HttpResponse response) {
        int status = response.status().code();
        if (status < 200) {
            return status >= 100
                    && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code()
                    && ++interimResponses <= MAX_INTERIM_RESPONSES;
        }
        if (status >= 600) {
            return false;
        }
        String coding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null) {
            return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
        }
        // Where the connection's end ends a body, its head must say so.
        if (!HttpUtil.isContentLengthSet(response)) {
            return !HttpUtil.isKeepAlive(response);
        }
        boolean mayBeStreamed = status == HttpResponseStatus.OK.code();
        return HttpUtil.getContentLength(response)
                <= (mayBeStreamed ? MAX_STREAMED_BODY_BYTES : MAX_COLLECTED_BODY_BYTES);
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        boolean endsByBreak = last && broken;
        if (content.decoderResult().isFailure() || endsByBreak) {
            reportInvalid();
            return;
        }
        if (streamed == null) {
            int size = body.readableBytes() + content.content().readableBytes();
            if (size <= MAX_COLLECTED_BODY_BYTES) {
                collect(content.content(), last);
                return;
            }
            if (head.status().code() != HttpResponseStatus.OK.code()) {
                reportInvalid();
                return;
            }
            startStreaming();
            if (invalid) {
                return;
            }
        }
        stream(content.content(), last);
    }

    private void collect(ByteBuf bytes, boolean last) {
        body.writeBytes(bytes);
        if (last) {
            if (head.status().code() >= 200) {
                complete = response(ByteBufUtil.getBytes(body), null);
            }
            releaseBody();
        }
    }

    /** Reports the response, and streams what is received of it from now on. */
    private void startStreaming() {
        StreamedResponse started = new StreamedResponse(
                HttpUtil.getContentLength(head, -1L),
                new StreamedResponse.Connection() {
                    @Override
                    public void setReading(boolean reading) {
                        listener.setReading(reading);
                    }

                    @Override
                    public void close() {
                        reportInvalid();
                    }
                },
                scheduler);
        streamed = started;
        streamedBytes = body.readableBytes();
        byte[] collected = ByteBufUtil.getBytes(body);
        EndpointResponse response = response(new byte[0], started);
        if (collected.length > 0) {
            started.onPart(collected);
        }
        listener.onStreamedResponseStarted(response);
    }

    private EndpointResponse response(byte[] bytes, RemainingBody remainingBody) {
        return new EndpointResponse(
                head.status().code(),
                "1".equals(head.headers().get("X-Not-Run")),
                HttpUtil.isKeepAlive(head),
                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                bytes,
                remainingBody);
    }

    private void stream(ByteBuf bytes, boolean last) {
        streamedBytes += bytes.readableBytes();
        if (streamedBytes > MAX_STREAMED_BODY_BYTES) {
            reportInvalid();
            return;
        }
        if (bytes.isReadable()) {
            streamed.onPart(ByteBufUtil.getBytes(bytes));
        }
        if (last && !invalid) {
            streamComplete = true;
            releaseBody();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reportComplete();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        reportComplete();
        releaseBody();
        cutStream();
        ctx.fireChannelInactive();
    }

    private void reportComplete() {
        if (!isComplete()) {
            return;
        }
        boolean clean = !surplus && !httpDecoder.holdsBytes();
        StreamedResponse endedStream = streamComplete ? streamed : null;
        EndpointResponse response = complete;
        reset();
        if (endedStream != null) {
            // The connection is returned first: what the end leads to may need it.
            listener.onStreamedResponseEnded(clean);
            endedStream.onEnd(true);
        } else {
            listener.onResponse(response, clean);
        }
    }

    private void reset() {
        if (streamComplete) {
            streamed = null;
        }
        streamComplete = false;
        complete = null;
        surplus = false;
        interimResponses = 0;
        expecting = false;
    }

    private void reportInvalid() {
        releaseBody();
        cutStream();
        if (!invalid) {
            invalid = true;
            listener.onInvalidResponse();
        }
    }

    private void cutStream() {
        if (streamed != null) {
            streamed.onEnd(false);
            streamed = null;
        }
        streamComplete = false;
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
        head = null;
    }
}
