package martenlatch.front.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Stands before the decoder on a client's connection: bounds the time that it may stand open with no whole
 * request, and what is read of it once it has nothing more to say.
 */
final class ClientGuard extends ChannelInboundHandlerAdapter {

    /** Fired when a request has begun and has not become whole in time. */
    static final Object LATE = new Object();

    /** A request must be whole so long after its first byte, the first one so long after the connect. */
    private static final int READ_MS = 2000;
    /** Between requests a connection is closed after this time. */
    private static final int IDLE_MS = 5000;
    /** What a client still sends when it has its last answer is read, so that no reset destroys that. */
    private static final int LINGER_MS = 300;
    private static final int MOST_LINGERING_BYTES = 256 * 1024;

    private final SocketChannel channel;
    private Future<?> limit;
    private boolean begun;
    private boolean waiting;
    private boolean deaf;
    private long unheard;

    ClientGuard(SocketChannel channel) {
        this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        await(ctx, READ_MS);
        ctx.fireChannelActive();
    }

    private void await(ChannelHandlerContext ctx, int ms) {
        stopClock();
        limit = channel.eventLoop().schedule(() -> {
            if (begun && !deaf) {
                ctx.fireUserEventTriggered(LATE);
            } else {
                channel.close();
            }
        }, ms, TimeUnit.MILLISECONDS);
    }

    private void stopClock() {
        if (limit != null) {
            limit.cancel(false);
            limit = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (deaf) {
            unheard += ((ByteBuf) bytes).readableBytes();
            ((ByteBuf) bytes).release();
            if (unheard > MOST_LINGERING_BYTES) {
                channel.close();
            }
            return;
        }
        if (!begun) {
            begun = true;
            if (waiting) {
                waiting = false;
                await(ctx, READ_MS);
            }
        }
        ctx.fireChannelRead(bytes);
    }

    /** A request is whole: until it is answered the connection may take its time. */
    void requestTaken() {
        begun = false;
        waiting = false;
        stopClock();
    }

    /** All that was asked is answered. */
    void answered() {
        if (!deaf && channel.isActive()) {
            waiting = !begun;
            await(channel.pipeline().context(this), begun ? READ_MS : IDLE_MS);
        }
    }

    /** Nothing that comes from now on is listened to. */
    void goDeaf() {
        deaf = true;
    }

    /** Ends the connection once its last answer is written, in a way that lets that answer arrive. */
    void endAfter(ChannelFuture lastAnswer) {
        goDeaf();
        channel.config().setAutoRead(true);
        await(channel.pipeline().context(this), READ_MS);
        lastAnswer.addListener(written -> {
            if (written.isSuccess()) {
                channel.shutdownOutput();
                await(channel.pipeline().context(this), LINGER_MS);
            } else {
                channel.close();
            }
        });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        stopClock();
        ctx.fireChannelInactive();
    }
}
