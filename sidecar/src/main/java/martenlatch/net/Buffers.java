package martenlatch.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PoolArenaMetric;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** The buffer allocator of the process and the buffer sizes of its connections. */
public final class Buffers {

    /**
     * The allocator of all sockets. It has one arena with chunks of 128 KiB, because messages are a few hundred bytes
     * long and memory is limited.
     */
    public static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);

    /** Limits the unwritten bytes per connection, as those of hundreds of connections must fit into direct memory. */
    public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
    /**
     * The kernel's socket buffer, set on the side of a connection where data accumulates. With autotuning it would grow
     * to megabytes for each connection. 128 KiB still allow 2.5 MB/s at a round-trip time of 50 ms.
     */
    public static final int SOCKET_BUFFER_BYTES = 128 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private Buffers() {}

    /** Returns the number of direct buffers that are not released. */
    public static long unreleasedDirectBuffers() {
        return ((PooledByteBufAllocator) ALLOCATOR)
                .metric().directArenas().stream()
                        .mapToLong(PoolArenaMetric::numActiveAllocations)
                        .sum();
    }

    /** Creates a receive buffer allocator; each bootstrap needs its own, as it adapts to the sizes that were read. */
    public static RecvByteBufAllocator receiveBufferAllocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
    }
}
