package martenlatch.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import java.util.Optional;
import martenlatch.net.CollectedBytes;
import martenlatch.net.MemoryBudget;
import martenlatch.request.BodyProgress;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/**
 * Decodes the one response that a connection to an endpoint waits for. A short response is reported only after all
 * bytes that arrived with it are read, so that surplus bytes are never taken for the next response. A long response is
 * reported before its body is complete, and its body is streamed.
 */
public final class ResponseDecoder extends ChannelInboundHandlerAdapter {

    /** The largest body that is collected before the response is reported. */
    public static final int MAX_COLLECTED_BODY_BYTES = 64 * 1024;
    /** The largest body that is collected while it may not be streamed. */
    public static final int MAX_HELD_BODY_BYTES = 1024 * 1024;
    /** The largest body that is streamed. A longer one is not a plausible response and is rejected. */
    public static final long MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024;

    private static final int MAX_INTERIM_RESPONSES = 16;

    /** Receives the decoded responses of one connection. */
    public interface Listener {
        /**
         * Called when a short response is complete.
         *
         * @param clean whether no surplus bytes arrived with it, so that the connection may be kept
         */
        void onResponse(EndpointResponse response, boolean clean);

        /** Called when a long response has started; its body follows in {@link EndpointResponse#remainingBody}. */
        void onStreamedResponseStarted(EndpointResponse response);

        /**
         * Called when a long response is complete.
         *
         * @param clean whether no surplus bytes arrived with it, so that the connection may be kept
         */
        void onStreamedResponseEnded(boolean clean);

        /** Returns whether a long response may be reported before it is complete. */
        default boolean mayStream() {
            return true;
        }

        /** Resumes or pauses reading from the connection. */
        void setReading(boolean reading);

        /** Called when an invalid or unexpected response arrived, after which the connection cannot be used. */
        void onInvalidResponse();
    }

    private final Listener listener;
    private final Scheduler scheduler;
    private final MemoryBudget memory;
    private final StrictHttpResponseDecoder httpDecoder = new StrictHttpResponseDecoder();
    /** Whether a request was written whose response is not complete yet. */
    private boolean responseExpected;

    private boolean invalid;
    /** The head of the response that is being decoded, or null. */
    private HttpResponse head;
    /** The bytes collected of its body, or null. */
    private CollectedBytes body;

    /** How that body arrives; null before the first head. */
    private BodyProgress progress;
    /** The time at which that head was complete. */
    private double responseStartedMs;
    /** The time at which bytes of a response last arrived. */
    private double lastBytesMs;

    private int interimResponses;
    /** The complete short response that is reported at the end of the current read, or null. */
    private EndpointResponse completeResponse;
    /** Whether surplus bytes arrived with the complete response. */
    private boolean surplusReceived;
    /** The body of the response that is being streamed, or null. */
    private StreamedResponse streamed;

    private long streamedBytes;
    /** Whether the streamed body is complete and its end is reported at the end of the current read. */
    private boolean streamComplete;
    /** Whether the connection has failed; its end is then not a valid end of a response. */
    private boolean connectionFailed;

    /** Creates a decoder for one connection. */
    public ResponseDecoder(Listener listener, Scheduler scheduler, MemoryBudget memory) {
        this.memory = memory;
        this.listener = listener;
        this.scheduler = scheduler;
    }

    /** Adds the handlers that decode responses to the pipeline of a connection. */
    public void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new UnexpectedBytesFilter(), httpDecoder, this);
    }

    /** Called when a request is written; bytes that arrive from now on may be its response. */
    public void expectResponse() {
        responseExpected = true;
    }

    /** Returns how far the current response has arrived, if it is a 200 that is not complete. */
    public Optional<Transport.ResponseProgress> responseProgress() {
        boolean responding = head != null && isOk(head);
        return responding
                ? Optional.of(new Transport.ResponseProgress(
                        responseStartedMs, lastBytesMs, progress.isFlowing(scheduler.now())))
                : Optional.empty();
    }

    /** Streams the response that is being collected if it may go on and may be streamed; returns whether it does. */
    public boolean streamFromNowOn() {
        boolean collecting = head != null && isOk(head) && streamed == null && !isComplete();
        double nowMs = scheduler.now();
        if (!collecting || !progress.mayGoOn(nowMs, nowMs) || !listener.mayStream()) {
            return false;
        }
        startStreaming();
        return true;
    }

    private boolean isComplete() {
        return completeResponse != null || streamComplete;
    }

    /**
     * Filters out unexpected bytes before the HTTP decoder. The HTTP decoder would buffer an incomplete line without
     * reporting it.
     */
    private final class UnexpectedBytesFilter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (responseExpected && !isComplete()) {
                lastBytesMs = scheduler.now();
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            if (isComplete()) {
                surplusReceived = true;
            } else {
                reportInvalid();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            connectionFailed |= cause instanceof IOException;
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
            surplusReceived = true;
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
        responseStartedMs = scheduler.now();
        progress = new BodyProgress(responseStartedMs);
        long length = HttpUtil.getContentLength(response, -1L);
        body = new CollectedBytes(memory, MemoryBudget.Use.RESPONSE, MAX_COLLECTED_BODY_BYTES, length);
        boolean isLong = length > MAX_COLLECTED_BODY_BYTES;
        if (isOk(response) && isLong && !mustBeHeld(length)) {
            startStreaming();
        }
    }

    private static boolean isOk(HttpResponse response) {
        return response.status().code() == HttpResponseStatus.OK.code();
    }

    /** Returns whether a long body of at least this size is collected, as it may not be streamed. */
    private boolean mustBeHeld(long bodyBytes) {
        return bodyBytes <= MAX_HELD_BODY_BYTES && !memory.isShort() && !listener.mayStream();
    }

    /** Returns whether the status is plausible and the head determines where the response ends. */
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
        // A body may end with the connection only if the head says that the connection is closed.
        if (!HttpUtil.isContentLengthSet(response)) {
            return !HttpUtil.isKeepAlive(response);
        }
        boolean mayBeStreamed = status == HttpResponseStatus.OK.code();
        return HttpUtil.getContentLength(response)
                <= (mayBeStreamed ? MAX_STREAMED_BODY_BYTES : MAX_COLLECTED_BODY_BYTES);
    }

    private void onContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        boolean endedByFailure = last && connectionFailed;
        if (content.decoderResult().isFailure() || endedByFailure) {
            reportInvalid();
            return;
        }
        progress.onBytes(scheduler.now(), content.content().readableBytes());
        if (streamed == null) {
            updateCollectionLimit(content.content().readableBytes());
            if (body.tryAppend(content.content())) {
                onCollected(last);
                return;
            }
            // The body is too long to be collected, or there is no memory for it.
            if (!isOk(head)) {
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

    /** Decides before each part whether the body is still collected once it is long. */
    private void updateCollectionLimit(int partBytes) {
        int bodyBytes = body.size() + partBytes;
        boolean held = bodyBytes > MAX_COLLECTED_BODY_BYTES && isOk(head) && mustBeHeld(bodyBytes);
        body.setMaxBytes(held ? MAX_HELD_BODY_BYTES : MAX_COLLECTED_BODY_BYTES);
    }

    private void onCollected(boolean last) {
        if (last) {
            if (head.status().code() >= 200) {
                completeResponse = buildResponse(takeBody(), null);
            }
            releaseBody();
        }
    }

    /** Returns the collected bytes; whoever gets them reserves their memory again before other events are handled. */
    private byte[] takeBody() {
        byte[] bytes = body.take();
        memory.release(MemoryBudget.Use.RESPONSE, bytes.length);
        return bytes;
    }

    /** Reports the response and streams the bytes of its body that arrive from now on. */
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
                scheduler,
                memory,
                progress);
        streamed = started;
        byte[] collected = takeBody();
        streamedBytes = collected.length;
        EndpointResponse response = buildResponse(new byte[0], started);
        if (collected.length > 0) {
            started.onPart(collected);
        }
        listener.onStreamedResponseStarted(response);
    }

    private EndpointResponse buildResponse(byte[] bytes, RemainingBody remainingBody) {
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
        endTruncatedStream();
        ctx.fireChannelInactive();
    }

    private void reportComplete() {
        if (!isComplete()) {
            return;
        }
        boolean clean = !surplusReceived && !httpDecoder.hasUndecodedBytes();
        StreamedResponse endedStream = streamComplete ? streamed : null;
        EndpointResponse response = completeResponse;
        reset();
        if (endedStream != null) {
            // The connection is returned first because the receiver may send another request that can reuse it.
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
        completeResponse = null;
        surplusReceived = false;
        interimResponses = 0;
        responseExpected = false;
    }

    private void reportInvalid() {
        releaseBody();
        endTruncatedStream();
        if (!invalid) {
            invalid = true;
            listener.onInvalidResponse();
        }
    }

    private void endTruncatedStream() {
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
