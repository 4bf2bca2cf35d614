package martenlatch.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/** The one allocator of the process. */
public final class Buffers {

    /** One small arena: messages are of a few hundred bytes, and memory is tight. */
    public static final ByteBufAllocator ALLOCATOR = new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);

    /** What waits to be written on one connection: hundreds of them must fit into the direct memory. */
    public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(8 * 1024, 16 * 1024);
    /**
     * What the system may hold of a stream on the side that fills up: left to itself it grows to megabytes
     * for each. A link with 50 ms of way there and back still carries 2.5 MB a second.
     */
    public static final int SYSTEM = 128 * 1024;

    private static final int LEAST_READ = 64;
    private static final int FIRST_READ = 2048;
    private static final int MOST_READ = 16 * 1024;

    private Buffers() {}

    /** How much is read of a connection at once: it remembers what came, so each bootstrap has its own. */
    public static RecvByteBufAllocator reads() {
        return new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, MOST_READ);
    }
}
