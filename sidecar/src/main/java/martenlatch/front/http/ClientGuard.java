package martenlatch.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Stands before the decoder on a client's connection: bounds the time that it may stand open with no whole
 * request, and what is read of it once it has nothing more to say.
 */
final class ClientGuard extends ChannelInboundHandlerAdapter {

    /** Fired when a request has begun and has not become whole in time. */
    static final Object LATE = new Object();

    /** A head must be whole so long after its first byte, the first one so long after the connect. */
    private static final int HEAD_MS = 2500;
    /**
     * A body must come at this pace, in bytes a millisecond, and may fall behind it by so many bytes: 2 s
     * of it.
     */
    private static final int PACE = 16;

    private static final int MOST_BEHIND = 2000 * PACE;
    private static final int TICK_MS = 250;
    /** Between requests a connection is closed after this time. */
    private static final int IDLE_MS = 5000;
    /** What a client still sends when it has its last answer is read, so that no reset destroys that. */
    private static final int LINGER_MS = 300;

    private static final int MOST_LINGERING_BYTES = 256 * 1024;
    /** The same for who is in the middle of a long body, and may look for an answer only now and then. */
    private static final int BODY_LINGER_MS = 2000;

    private static final long MOST_BODY_BYTES = RequestReader.MOST_BODY;

    /**
     * What comes while nothing more is taken waits here, and not with the system: behind unread bytes nobody
     * sees that the client has left. Who sends more than this is far ahead of its answers.
     */
    private static final int MOST_HELD = 16 * 1024;

    private final SocketChannel channel;
    private final Deque<ByteBuf> held = new ArrayDeque<>();
    private int heldBytes;
    private boolean holding;
    /** The clock that stands, and when it is due; what is awaited, until when, and how long that was. */
    private Future<?> limit;

    private long limitNanos;
    private boolean awaited;
    private long dueNanos;
    private int awaitedMs;
    private boolean begun;
    private boolean inBody;
    private boolean waiting;
    /** Something has come since it was last looked for. */
    private boolean heard;
    /** What has come is being passed on: it must not be read again from within. */
    private boolean reading;

    private boolean deaf;
    /** The last answer has been handed over. */
    private boolean ended;
    /** A body was still coming when its connection was ended. */
    private boolean cutShort;

    private long unheard;
    private long behind;

    ClientGuard(SocketChannel channel) {
        this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        await(ctx, HEAD_MS);
        ctx.fireChannelActive();
    }

    /**
     * A clock that stands already and is due no later is left to find out: a connection in use would else
     * set and cancel one with every request.
     */
    private void await(ChannelHandlerContext ctx, int ms) {
        awaited = true;
        awaitedMs = ms;
        dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
        if (limit != null && limitNanos - dueNanos > 0) {
            limit.cancel(false);
            limit = null;
        }
        if (limit == null) {
            schedule(ctx);
        }
    }

    private void schedule(ChannelHandlerContext ctx) {
        limitNanos = dueNanos;
        limit = channel.eventLoop()
                .schedule(
                        () -> {
                            limit = null;
                            if (awaited && dueNanos - System.nanoTime() > 0) {
                                schedule(ctx);
                            } else if (awaited) {
                                due(ctx);
                            }
                        },
                        dueNanos - System.nanoTime(),
                        TimeUnit.NANOSECONDS);
    }

    private void due(ChannelHandlerContext ctx) {
        awaited = false;
        if (begun && inBody && !deaf && keepsPace(awaitedMs)) {
            await(ctx, TICK_MS);
        } else if (begun && !deaf) {
            ctx.fireUserEventTriggered(LATE);
        } else if (deaf || !readNow()) {
            channel.close();
        } else if (begun && !awaited) {
            await(ctx, HEAD_MS);
        }
    }

    /**
     * Reads what has come and waits with the system, on the event loop and not while anything is read: who
     * closes over it cuts a request off that was there. True if there was something.
     */
    boolean readNow() {
        heard = false;
        if (channel.isActive() && !reading) {
            ((AbstractNioChannel) channel).unsafe().read();
        }
        return heard;
    }

    /** Whether a body has come fast enough; time in which we did not read is not the client's. */
    private boolean keepsPace(int ms) {
        if (channel.config().isAutoRead()) {
            behind = Math.max(0, behind + (long) ms * PACE);
        }
        return behind <= MOST_BEHIND;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        int size = ((ByteBuf) bytes).readableBytes();
        heard = true;
        reading = true;
        if (deaf) {
            ((ByteBuf) bytes).release();
            // Before the last answer is written a flood is read for the end behind it, and nothing is kept.
            unheard += ended ? size : 0;
            if (unheard > (cutShort ? MOST_BODY_BYTES : MOST_LINGERING_BYTES)) {
                channel.close();
            }
            return;
        }
        if (!begun) {
            begun = true;
            if (waiting) {
                waiting = false;
                await(ctx, HEAD_MS);
            }
        }
        behind -= size;
        if (holding || !held.isEmpty()) {
            held.add((ByteBuf) bytes);
            heldBytes += size;
            holding &= heldBytes <= MOST_HELD;
            if (!holding) {
                passHeld(ctx);
            }
            return;
        }
        ctx.fireChannelRead(bytes);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        reading = false;
        ctx.fireChannelReadComplete();
    }

    /** Takes nothing more for the time being, or takes again what has come. */
    void hold(boolean now) {
        if (holding && !now && !held.isEmpty()) {
            // Not from here: it may be called while what came before is being taken.
            channel.eventLoop().execute(() -> {
                if (!holding && channel.isActive()) {
                    passHeld(channel.pipeline().context(this));
                }
            });
        }
        holding = now;
    }

    private void passHeld(ChannelHandlerContext ctx) {
        for (ByteBuf bytes = held.poll(); bytes != null; bytes = holding ? null : held.poll()) {
            heldBytes -= bytes.readableBytes();
            if (deaf) {
                bytes.release();
            } else {
                ctx.fireChannelRead(bytes);
            }
        }
        ctx.fireChannelReadComplete();
    }

    private void dropHeld() {
        held.forEach(ByteBuf::release);
        held.clear();
        heldBytes = 0;
    }

    /** A head is whole: its body is awaited by another measure. */
    void headTaken() {
        inBody = true;
        behind = 0;
    }

    /** Whether a request has begun and is not whole yet. */
    boolean isInRequest() {
        return begun;
    }

    /** A request is whole: until it is answered the connection may take its time. */
    void requestTaken() {
        begun = false;
        inBody = false;
        waiting = false;
        awaited = false;
    }

    /** All that was asked is answered. */
    void answered() {
        if (!deaf && channel.isActive()) {
            waiting = !begun;
            await(channel.pipeline().context(this), begun ? HEAD_MS : IDLE_MS);
        }
    }

    /** Nothing that comes from now on is listened to. */
    void goDeaf() {
        deaf = true;
        dropHeld();
    }

    /**
     * Ends the connection once its last answer is written, in a way that lets that answer arrive.
     *
     * @param inBody whether the client is in the middle of a body
     * @param leastMs so long the client has at least to take the answer and end its side
     */
    void endAfter(ChannelFuture lastAnswer, boolean inBody, double leastMs) {
        goDeaf();
        ended = true;
        cutShort = inBody;
        channel.config().setAutoRead(true);
        await(channel.pipeline().context(this), HEAD_MS);
        lastAnswer.addListener(written -> {
            if (written.isSuccess()) {
                channel.shutdownOutput();
                await(channel.pipeline().context(this), Math.max((int) leastMs, inBody ? BODY_LINGER_MS : LINGER_MS));
            } else {
                channel.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        awaited = false;
        dropHeld();
        if (limit != null) {
            limit.cancel(false);
            limit = null;
        }
        ctx.fireChannelInactive();
    }
}
