package martenlatch.frontend.http;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;

/**
 * Closes a connection whose client has stopped reading. What counts is that the socket takes output, however slowly,
 * and not how long a response takes.
 */
final class OutputProgress {

    /** The time without progress after which a client is assumed to read no more. */
    private static final int STALL_MS = 10_000;

    private final SocketChannel channel;
    private final LazyDeadline deadline;
    /** The number of bytes that waited for the socket when the deadline was started. */
    private long pendingBytesAtStart;

    OutputProgress(SocketChannel channel) {
        this.channel = channel;
        deadline = new LazyDeadline(channel.eventLoop(), this::onDeadline);
    }

    /** Returns whether there is output that the socket has not taken. */
    boolean isPending() {
        return pendingBytes() > 0;
    }

    private long pendingBytes() {
        ChannelOutboundBuffer output = channel.unsafe().outboundBuffer();
        return output == null ? 0 : output.totalPendingWriteBytes();
    }

    /** Called after output was passed to the channel. */
    void onOutput() {
        if (!deadline.isRunning() && isPending()) {
            start();
        }
    }

    private void start() {
        pendingBytesAtStart = pendingBytes();
        deadline.start(STALL_MS);
    }

    private void onDeadline() {
        if (!isPending()) {
            return;
        }
        if (pendingBytes() == pendingBytesAtStart) {
            channel.close();
        } else {
            start();
        }
    }

    /** Ends the supervision; called when the connection is closed. */
    void close() {
        deadline.close();
    }
}
