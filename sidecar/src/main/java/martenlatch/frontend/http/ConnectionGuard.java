package martenlatch.frontend.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Stands before the decoder on a client's connection: bounds the time that it may be open without a complete request,
 * holds input that comes too early, and ends the connection in a way that lets the last response arrive.
 */
final class ConnectionGuard extends ChannelInboundHandlerAdapter {

    /** The event that a request has started and was not completed in time. */
    static final Object REQUEST_TIMEOUT = new Object();

    /** A head must be complete so long after its first byte, the first one so long after the connect. */
    private static final int HEAD_TIMEOUT_MS = 2500;
    /** A body must arrive at this rate, and may fall behind it by what would arrive in two seconds. */
    private static final int MIN_BODY_BYTES_PER_MS = 16;

    private static final int MAX_BEHIND_BYTES = 2000 * MIN_BODY_BYTES_PER_MS;
    private static final int BODY_CHECK_MS = 250;
    /** An idle connection is closed after this time. */
    private static final int IDLE_TIMEOUT_MS = 5000;
    /** Input after the last response is read for this long, so that no reset destroys the response. */
    private static final int LINGER_MS = 300;

    private static final int MAX_LINGER_BYTES = 256 * 1024;
    /** The same for a client in the middle of a long body, which may look for a response only now and then. */
    private static final int BODY_LINGER_MS = 2000;

    private static final long MAX_BODY_LINGER_BYTES = RequestBodyCollector.MAX_BODY_BYTES;
    /**
     * Input that is not taken yet is held here and not in the system: behind unread bytes nobody sees that the client
     * has left. A client that sends more than this is far ahead of its responses.
     */
    private static final int MAX_HELD_BYTES = 16 * 1024;

    private final SocketChannel channel;
    private final LazyDeadline deadline;
    private final Deque<ByteBuf> held = new ArrayDeque<>();
    private int heldBytes;
    private boolean holding;
    private ChannelHandlerContext context;
    /** A request has started and is not complete yet. */
    private boolean inRequest;
    /** Its head is complete. */
    private boolean inBody;
    /** All requests are answered and no other has started. */
    private boolean idle;
    /** Something was read since this was last reset. */
    private boolean readSomething;
    /** Input is being passed on: the channel must not be read again from within. */
    private boolean reading;

    private boolean ignoringInput;
    /** The last response has been handed over. */
    private boolean closing;
    /** A body was still being received when its connection was ended. */
    private boolean bodyCutShort;

    private long ignoredBytes;
    /** By how many bytes the body has fallen behind the minimum rate. */
    private long behindBytes;

    ConnectionGuard(SocketChannel channel) {
        this.channel = channel;
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
        boolean receiving = inRequest && !ignoringInput;
        if (receiving && inBody && keepsRate(deadline.durationMs())) {
            deadline.start(BODY_CHECK_MS);
        } else if (receiving) {
            context.fireUserEventTriggered(REQUEST_TIMEOUT);
        } else if (ignoringInput || !readNow()) {
            channel.close();
        } else if (inRequest && !deadline.isRunning()) {
            deadline.start(HEAD_TIMEOUT_MS);
        }
    }

    /** Whether a body has arrived fast enough; time in which it was not read does not count. */
    private boolean keepsRate(int elapsedMs) {
        if (channel.config().isAutoRead()) {
            behindBytes = Math.max(0, behindBytes + (long) elapsedMs * MIN_BODY_BYTES_PER_MS);
        }
        return behindBytes <= MAX_BEHIND_BYTES;
    }

    /**
     * Reads what has arrived and waits in the system; on the event loop, and not while anything is being read. Closing
     * a connection over unread bytes would cut off a request that had arrived. True if there was something.
     */
    boolean readNow() {
        readSomething = false;
        if (channel.isActive() && !reading) {
            ((AbstractNioChannel) channel).unsafe().read();
        }
        return readSomething;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        readSomething = true;
        reading = true;
        if (ignoringInput) {
            ignore(bytes);
            return;
        }
        if (!inRequest) {
            onRequestStarted();
        }
        behindBytes -= bytes.readableBytes();
        if (holding || !held.isEmpty()) {
            hold(bytes);
        } else {
            ctx.fireChannelRead(bytes);
        }
    }

    private void ignore(ByteBuf bytes) {
        // Until the last response is written, any amount is read to see the disconnect behind it; nothing is kept.
        ignoredBytes += closing ? bytes.readableBytes() : 0;
        bytes.release();
        if (ignoredBytes > (bodyCutShort ? MAX_BODY_LINGER_BYTES : MAX_LINGER_BYTES)) {
            channel.close();
        }
    }

    private void onRequestStarted() {
        inRequest = true;
        if (idle) {
            idle = false;
            deadline.start(HEAD_TIMEOUT_MS);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        ctx.fireChannelReadComplete();
    }

    // ---- input that is held ----

    private void hold(ByteBuf bytes) {
        held.add(bytes);
        heldBytes += bytes.readableBytes();
        holding &= heldBytes <= MAX_HELD_BYTES;
        if (!holding) {
            passHeldInput();
        }
    }

    /** Holds all input from now on, or passes on what was held. */
    void setHolding(boolean hold) {
        if (holding && !hold && !held.isEmpty()) {
            // Not at once: this may be called while earlier input is being handled.
            channel.eventLoop().execute(() -> {
                if (!holding && channel.isActive()) {
                    passHeldInput();
                }
            });
        }
        holding = hold;
    }

    private void passHeldInput() {
        for (ByteBuf bytes = held.poll(); bytes != null; bytes = holding ? null : held.poll()) {
            heldBytes -= bytes.readableBytes();
            if (ignoringInput) {
                bytes.release();
            } else {
                context.fireChannelRead(bytes);
            }
        }
        context.fireChannelReadComplete();
    }

    private void releaseHeldInput() {
        held.forEach(ByteBuf::release);
        held.clear();
        heldBytes = 0;
    }

    // ---- what the other handlers tell ----

    /** The head of a request is complete: its body has another time limit. */
    void onHeadComplete() {
        inBody = true;
        behindBytes = 0;
    }

    /** Whether a request has started and is not complete yet. */
    boolean isInRequest() {
        return inRequest;
    }

    /** A request is complete: until it is answered there is no time limit here. */
    void onRequestComplete() {
        inRequest = false;
        inBody = false;
        idle = false;
        deadline.stop();
    }

    /** All requests are answered. */
    void onAllAnswered() {
        if (!ignoringInput && channel.isActive()) {
            idle = !inRequest;
            deadline.start(inRequest ? HEAD_TIMEOUT_MS : IDLE_TIMEOUT_MS);
        }
    }

    /** Input that arrives from now on is dropped. */
    void ignoreInput() {
        ignoringInput = true;
        releaseHeldInput();
    }

    /**
     * Closes the connection after its last response is written, in a way that lets that response arrive.
     *
     * @param inBody whether the client is in the middle of a body
     * @param minLingerMs how long the client has at least to read the response and to close its side
     */
    void closeAfter(ChannelFuture lastResponse, boolean inBody, double minLingerMs) {
        ignoreInput();
        closing = true;
        bodyCutShort = inBody;
        channel.config().setAutoRead(true);
        deadline.start(HEAD_TIMEOUT_MS);
        lastResponse.addListener(written -> {
            if (written.isSuccess()) {
                channel.shutdownOutput();
                deadline.start(Math.max((int) minLingerMs, inBody ? BODY_LINGER_MS : LINGER_MS));
            } else {
                channel.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseHeldInput();
        deadline.close();
        ctx.fireChannelInactive();
    }
}
