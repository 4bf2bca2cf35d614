package martenlatch.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;
import java.util.Arrays;
import martenlatch.net.MemoryBudget.Use;

/** The bytes of a body that is collected, in an array whose capacity is reserved in the memory budget. */
public final class CollectedBytes {

    private static final byte[] NO_BYTES = new byte[0];
    private static final int MIN_CAPACITY = 512;

    private final MemoryBudget memory;
    private final Use use;
    private int maxBytes;
    /** The number of bytes that are expected, or -1 if it is not known. */
    private final long expectedBytes;

    private byte[] bytes = NO_BYTES;
    private int size;

    /**
     * Creates an empty array.
     *
     * @param maxBytes the largest number of bytes that can be collected
     * @param expectedBytes the number of bytes that are expected, or -1 if it is not known
     */
    public CollectedBytes(MemoryBudget memory, Use use, int maxBytes, long expectedBytes) {
        this.memory = memory;
        this.use = use;
        this.maxBytes = maxBytes;
        this.expectedBytes = expectedBytes;
    }

    /**
     * Replaces a buffer, which may be far larger than its content, by an accounted copy. Takes ownership of the buffer;
     * returns the buffer itself if memory is short.
     */
    public static ByteBuf compact(ByteBuf buffer, MemoryBudget memory, Use use) {
        int length = buffer.readableBytes();
        CollectedBytes copy = new CollectedBytes(memory, use, length, length);
        if (!copy.tryAppend(buffer)) {
            return buffer;
        }
        buffer.release();
        return copy.takeBuffer();
    }

    /** Returns the number of bytes collected so far. */
    public int size() {
        return size;
    }

    /** Sets the largest number of bytes that can be collected. */
    public void setMaxBytes(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Appends the readable bytes of a buffer; returns false if they are too many or memory is short. */
    public boolean tryAppend(ByteBuf part) {
        int length = part.readableBytes();
        if (size + length > maxBytes || !tryEnsureCapacity(size + length)) {
            return false;
        }
        part.getBytes(part.readerIndex(), bytes, size, length);
        size += length;
        return true;
    }

    private boolean tryEnsureCapacity(int needed) {
        if (needed <= bytes.length) {
            return true;
        }
        int grown = Math.min(maxBytes, Math.max(needed, Math.max(MIN_CAPACITY, 2 * bytes.length)));
        int capacity = expectedBytes >= needed ? (int) Math.min(grown, expectedBytes) : grown;
        if (!memory.tryReserve(use, capacity - bytes.length)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    /**
     * Returns the collected bytes. They stay reserved, at their number, until the caller releases that many bytes; this
     * object is empty afterwards.
     */
    public byte[] take() {
        byte[] taken = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        memory.release(use, bytes.length - size);
        bytes = NO_BYTES;
        size = 0;
        return taken;
    }

    /** Returns the collected bytes as a buffer, which releases the reserved memory when it is released itself. */
    public ByteBuf takeBuffer() {
        return new ReservedBuffer(take(), memory, use);
    }

    /** Discards the collected bytes. */
    public void release() {
        memory.release(use, bytes.length);
        bytes = NO_BYTES;
        size = 0;
    }

    private static final class ReservedBuffer extends UnpooledHeapByteBuf {
        private final MemoryBudget memory;
        private final Use use;
        private final int reservedBytes;

        ReservedBuffer(byte[] bytes, MemoryBudget memory, Use use) {
            super(ByteBufAllocator.DEFAULT, bytes, bytes.length);
            this.memory = memory;
            this.use = use;
            reservedBytes = bytes.length;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            memory.release(use, reservedBytes);
        }
    }
}
