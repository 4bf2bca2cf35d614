package martenlatch.net;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;

/** The one allocator of the process. */
public final class Buffers {

    /** One small arena: messages are of a few hundred bytes, and memory is tight. */
    public static final ByteBufAllocator ALLOCATOR =
        new PooledByteBufAllocator(true, 1, 1, 8192, 4, 0, 0, false);

    private Buffers() {
    }
}
