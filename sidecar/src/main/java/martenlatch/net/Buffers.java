package martenlatch.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** The buffers of all sockets: one allocator for the process, and the sizes that bound each connection. */
public final class Buffers {

    /** One small arena: messages are of a few hundred bytes, and memory is tight. */
    public static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);

    /** Bounds the bytes that wait to be written on one connection: hundreds of them must fit into direct memory. */
    public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
    /**
     * The system's buffer for a stream on the side that fills up, in bytes: by itself it would grow to megabytes for
     * each. A link with a round trip of 50 ms still carries 2.5 MB a second.
     */
    public static final int SOCKET_BUFFER_BYTES = 128 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private Buffers() {}

    /** Creates the allocator for reads; it remembers the sizes that were read, so each bootstrap has its own. */
    public static RecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
