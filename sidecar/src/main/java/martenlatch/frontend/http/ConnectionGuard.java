package martenlatch.frontend.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import martenlatch.net.CollectedBytes;
import martenlatch.net.MemoryBudget;
import martenlatch.request.Scheduler;

/**
 * The first handler of a client connection, before the decoder. It enforces time limits on incomplete requests and idle
 * connections, buffers input that cannot be processed yet, and closes the connection so that the last response arrives.
 */
final class ConnectionGuard extends ChannelInboundHandlerAdapter {

    /** The user event fired when a request has started but was not completed in time. */
    static final Object REQUEST_TIMEOUT = new Object();

    /** The time limit for a request head, from its first byte; for the first request, from the connect. */
    private static final int HEAD_TIMEOUT_MS = 2500;
    /** The minimum rate of a request body; it may fall behind by the bytes of two seconds. */
    private static final int MIN_BODY_BYTES_PER_MS = 16;

    private static final int MAX_RATE_DEFICIT_BYTES = 2000 * MIN_BODY_BYTES_PER_MS;
    private static final int BODY_RATE_CHECK_INTERVAL_MS = 250;
    /** The time after which an idle connection is closed. */
    private static final int IDLE_TIMEOUT_MS = 5000;
    /**
     * Input is read for this long after the last response, as closing over unread input resets the connection and
     * destroys a response that the client has not read.
     */
    private static final int LINGER_MS = 300;

    /** The connection is closed when more bytes than this have been discarded after the last response. */
    private static final int MAX_LINGER_BYTES = 256 * 1024;
    /** The linger time for a client that is sending a body, as it may check for a response only occasionally. */
    private static final int BODY_LINGER_MS = 2000;

    /** The linger limit for a client that is sending a body. */
    private static final long MAX_BODY_LINGER_BYTES = RequestBodyCollector.MAX_BODY_BYTES;
    /**
     * The limit on buffered input, above which it is processed in any case. Input is buffered here rather than left in
     * the socket buffer, because a disconnect is only visible after all bytes before it are read. Only a client that
     * pipelines excessively exceeds this limit. Input for which there is no memory is processed too, and rejected.
     */
    private static final int MAX_BUFFERED_BYTES = 16 * 1024;

    /** Input that waits to be processed, and the time at which it was read. */
    private record BufferedInput(ByteBuf bytes, double readAtMs) {}

    private final SocketChannel channel;
    private final LazyDeadline deadline;
    private final OutputProgress output;
    private final MemoryBudget memory;
    private final ClientRequestDecoder decoder;
    private final Scheduler scheduler;
    private final Deque<BufferedInput> bufferedInput = new ArrayDeque<>();
    private int bufferedBytes;
    /** The time at which the buffered input arrived that is being processed; NaN if none is. */
    private double bufferedSinceMs = Double.NaN;
    /** Whether new input is buffered instead of being passed to the decoder. */
    private boolean bufferingInput;

    private ChannelHandlerContext context;
    /** Whether a request has started and is not complete yet. */
    private boolean inRequest;
    /** Whether the head of that request is complete. */
    private boolean inBody;
    /** Whether all responses are written and no other request has started. */
    private boolean idle;
    /** The number of bytes read since the connection was accepted. */
    private long readBytes;
    /** Whether any input was read since this was last reset. */
    private boolean receivedInput;
    /** Whether input is being processed, during which the channel must not be read again. */
    private boolean reading;

    /** Whether all input is discarded. */
    private boolean discardingInput;
    /** Whether the last response has been passed to the channel. */
    private boolean closing;
    /** Whether the connection was closed while a request body was still being received. */
    private boolean closedDuringBody;

    /** The number of bytes discarded since the last response was passed to the channel. */
    private long discardedBytes;
    /** The time since which the channel is not read, or since when that was last counted. */
    private double unreadSinceMs;
    /** The time during which the channel was not read since the rate was last checked. */
    private double unreadMs;
    /** The number of bytes by which the body has fallen behind the minimum rate; negative if it is ahead. */
    private long rateDeficitBytes;

    /** Creates the guard of a connection; {@code decoder} is the next handler. */
    ConnectionGuard(SocketChannel channel, ClientRequestDecoder decoder, MemoryBudget memory, Scheduler scheduler) {
        this.scheduler = scheduler;
        this.memory = memory;
        this.channel = channel;
        this.decoder = decoder;
        output = new OutputProgress(channel);
        deadline = new LazyDeadline(channel.eventLoop(), this::onDeadline);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        deadline.start(HEAD_TIMEOUT_MS);
        ctx.fireChannelActive();
    }

    private void onDeadline() {
        boolean receiving = inRequest && !discardingInput;
        boolean headPaused = !inBody && !channel.config().isAutoRead();
        boolean processing = bufferingInput || hasBufferedInput() || headPaused;
        if (output.isPending() && !receiving) {
            // The client still reads; if it has stopped, that is noticed by its lack of progress.
            deadline.start(IDLE_TIMEOUT_MS);
        } else if (receiving && processing) {
            // The rest of the request may have arrived and waits for earlier requests.
            deadline.start(HEAD_TIMEOUT_MS);
        } else if (receiving && inBody && meetsMinBodyRate(deadline.durationMs())) {
            deadline.start(BODY_RATE_CHECK_INTERVAL_MS);
        } else if (receiving) {
            context.fireUserEventTriggered(REQUEST_TIMEOUT);
        } else if (discardingInput || !readAvailable()) {
            channel.close();
        } else if (inRequest && !deadline.isRunning()) {
            deadline.start(HEAD_TIMEOUT_MS);
        }
    }

    /** Returns whether the body has arrived fast enough; time during which it was not read does not count. */
    private boolean meetsMinBodyRate(int elapsedMs) {
        countUnreadTime();
        long readMs = Math.max(0, elapsedMs - (long) unreadMs);
        unreadMs = 0;
        rateDeficitBytes = Math.max(0, rateDeficitBytes + readMs * MIN_BODY_BYTES_PER_MS);
        return rateDeficitBytes <= MAX_RATE_DEFICIT_BYTES;
    }

    private void countUnreadTime() {
        if (!channel.config().isAutoRead()) {
            double nowMs = scheduler.now();
            unreadMs += nowMs - unreadSinceMs;
            unreadSinceMs = nowMs;
        }
    }

    /** Resumes or pauses reading from the channel. */
    void setReading(boolean enabled) {
        countUnreadTime();
        if (!enabled && channel.config().isAutoRead()) {
            unreadSinceMs = scheduler.now();
        }
        channel.config().setAutoRead(enabled);
    }

    /**
     * Reads the input available in the socket buffer and returns whether there was any. Called on the event loop, it
     * has no effect while other input is being processed. Closing a connection over unread input would lose a request
     * that had arrived.
     */
    boolean readAvailable() {
        receivedInput = false;
        if (channel.isActive() && !reading) {
            ((AbstractNioChannel) channel).unsafe().read();
        }
        return receivedInput;
    }

    /**
     * Reads available input as {@link #readAvailable()} does, until there is none, {@code maxBytes} were read or memory
     * is short: what is read ahead of a paused body is held, for all clients together. Returns whether there was none
     * left.
     */
    boolean readAvailable(long maxBytes) {
        long endBytes = readBytes + maxBytes;
        boolean mayHaveMore = readAvailable();
        while (mayHaveMore && readBytes < endBytes && !memory.isShort()) {
            mayHaveMore = readAvailable();
        }
        return !mayHaveMore;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        receivedInput = true;
        readBytes += bytes.readableBytes();
        reading = true;
        if (discardingInput) {
            discard(bytes);
            return;
        }
        if (!inRequest) {
            onRequestStarted();
        }
        rateDeficitBytes -= bytes.readableBytes();
        if (bufferingInput || !bufferedInput.isEmpty()) {
            buffer(bytes);
        } else {
            ctx.fireChannelRead(bytes);
        }
    }

    private void discard(ByteBuf bytes) {
        // Until the last response is passed to the channel, any amount is read to detect a disconnect after it.
        discardedBytes += closing ? bytes.readableBytes() : 0;
        bytes.release();
        if (discardedBytes > (closedDuringBody ? MAX_BODY_LINGER_BYTES : MAX_LINGER_BYTES)) {
            channel.close();
        }
    }

    private void onRequestStarted() {
        inRequest = true;
        // The time limit for the first request runs from the connect.
        if (idle || !deadline.isRunning()) {
            idle = false;
            deadline.start(HEAD_TIMEOUT_MS);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        if (!inRequest && !discardingInput && decoder.isInHead()) {
            // Behind a complete request, in the same read, the next one has begun.
            onRequestStarted();
        }
        ctx.fireChannelReadComplete();
    }

    // ---- buffered input ----

    private void buffer(ByteBuf bytes) {
        bufferedBytes += bytes.readableBytes();
        bufferingInput &= memory.canHold(MemoryBudget.Use.BUFFERED_INPUT, bytes.readableBytes());
        ByteBuf held = CollectedBytes.compact(bytes, memory, MemoryBudget.Use.BUFFERED_INPUT);
        bufferedInput.add(new BufferedInput(held, scheduler.now()));
        bufferingInput &= bufferedBytes <= MAX_BUFFERED_BYTES;
        if (!bufferingInput) {
            forwardBufferedInput();
        }
    }

    /** Starts buffering all input, or stops and forwards the buffered input to the decoder. */
    void setInputBuffering(boolean enabled) {
        if (bufferingInput && !enabled && !bufferedInput.isEmpty()) {
            // Deferred, as this may be called while earlier input is being processed.
            channel.eventLoop().execute(() -> {
                if (!bufferingInput && channel.isActive()) {
                    forwardBufferedInput();
                }
            });
        }
        bufferingInput = enabled;
    }

    private void forwardBufferedInput() {
        for (BufferedInput next = bufferedInput.poll();
                next != null;
                next = bufferingInput ? null : bufferedInput.poll()) {
            bufferedBytes -= next.bytes().readableBytes();
            if (discardingInput) {
                next.bytes().release();
            } else {
                bufferedSinceMs = next.readAtMs();
                context.fireChannelRead(next.bytes());
                bufferedSinceMs = Double.NaN;
            }
        }
        context.fireChannelReadComplete();
    }

    boolean hasBufferedInput() {
        return !bufferedInput.isEmpty();
    }

    /** Returns the time at which the buffered input arrived that is being processed; NaN if none is. */
    double bufferedSinceMs() {
        return bufferedSinceMs;
    }

    private void releaseBufferedInput() {
        bufferedInput.forEach(input -> input.bytes().release());
        bufferedInput.clear();
        bufferedBytes = 0;
    }

    // ---- called by the other handlers ----

    /** Called when the head of a request is complete; from then on the minimum body rate applies. */
    void onHeadComplete() {
        if (!inRequest) {
            onRequestStarted();
        }
        inBody = true;
        countUnreadTime();
        unreadMs = 0;
        rateDeficitBytes = 0;
    }

    /** Returns whether a request has started and is not complete yet. */
    boolean isInRequest() {
        return inRequest;
    }

    /** Called after output was passed to the channel. */
    void onOutput() {
        output.onOutput();
    }

    /** Returns whether there is output that the client's socket has not taken. */
    boolean hasPendingOutput() {
        return output.isPending();
    }

    /** Called when a request is complete; no time limit applies here until its response is written. */
    void onRequestComplete() {
        inRequest = false;
        inBody = false;
        idle = false;
        deadline.stop();
    }

    /** Called when all responses are written; starts the time limit for the next request or for being idle. */
    void onAllResponsesWritten() {
        if (!discardingInput && channel.isActive()) {
            idle = !inRequest;
            if (idle || !deadline.isRunning()) {
                deadline.start(inRequest ? HEAD_TIMEOUT_MS : IDLE_TIMEOUT_MS);
            }
        }
    }

    /** Discards the buffered input and all input that arrives from now on. */
    void discardInput() {
        discardingInput = true;
        releaseBufferedInput();
    }

    /**
     * Closes the connection after its last response is written: first the output side, then, after a linger time in
     * which input is discarded, the whole connection, so that no reset destroys the response.
     *
     * @param duringBody whether a request body is still being received
     * @param minLingerMs the minimum time for the client to read the response and close its side
     */
    void closeAfter(ChannelFuture lastResponse, boolean duringBody, double minLingerMs) {
        discardInput();
        closing = true;
        closedDuringBody = duringBody;
        setReading(true);
        deadline.stop();
        output.onOutput();
        lastResponse.addListener(written -> {
            if (written.isSuccess()) {
                channel.shutdownOutput();
                deadline.start(Math.max((int) minLingerMs, duringBody ? BODY_LINGER_MS : LINGER_MS));
            } else {
                channel.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseBufferedInput();
        deadline.close();
        output.close();
        ctx.fireChannelInactive();
    }
}
