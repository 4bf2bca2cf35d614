package martenlatch.net;

import io.netty.util.internal.PlatformDependent;
import java.util.EnumMap;
import java.util.Map;

/**
 * Accounts for the heap memory that a process holds for its clients, and limits it. What is held is reserved at its
 * capacity, not at its content. Bodies and responses may use a part of the budget only, so that requests without a body
 * still find room when that part is used up. Used by one thread.
 */
public final class MemoryBudget {

    /** What memory is held for. */
    public enum Use {
        /** Heads of requests, from their first field until their response is ready. */
        REQUEST_HEAD,
        /** Bodies of requests that are collected or wait to be forwarded. */
        REQUEST_BODY,
        /** Input that is not decoded yet. */
        BUFFERED_INPUT,
        /** Responses that are collected or wait for their client. */
        RESPONSE
    }

    /** The part of the heap that may be held for clients; the rest is for everything else and for garbage. */
    private static final double HEAP_SHARE = 0.375;
    /** The part of the budget that everything but request heads may use. */
    private static final double BULK_SHARE = 0.75;
    /** The part of the budget above which memory is short. */
    private static final double SHORT_SHARE = 0.5;
    /** The part of the direct memory above which memory is short. */
    private static final double SHORT_DIRECT_SHARE = 0.6;

    private static final long MIB = 1024 * 1024;
    /** The memory of the JVM itself and its direct buffers, which is not available for the heap. */
    private static final long BYTES_OUTSIDE_HEAP = 88 * MIB;

    private static final long MIN_BYTES = 2 * MIB;

    private final long maxBytes;
    private final long maxDirectBytes = PlatformDependent.maxDirectMemory();
    private final Map<Use, Long> reservedByUse = new EnumMap<>(Use.class);
    private long reservedBytes;
    private long peakBytes;

    /** Creates a budget of this size in bytes. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates a budget for the heap of this JVM. */
    public static MemoryBudget ofHeap() {
        return new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    /** Creates a budget for the heap of this JVM in a process that may use this much memory in all. */
    public static MemoryBudget ofProcess(long processBytes) {
        long heapBytes = Math.min(Runtime.getRuntime().maxMemory(), processBytes - BYTES_OUTSIDE_HEAP);
        return new MemoryBudget(Math.max(MIN_BYTES, (long) (heapBytes * HEAP_SHARE)));
    }

    /** Reserves memory, or returns false and reserves nothing if the limit for this use would be exceeded. */
    public boolean tryReserve(Use use, long bytes) {
        if (!hasRoom(use, bytes)) {
            return false;
        }
        reserve(use, bytes);
        return true;
    }

    private boolean hasRoom(Use use, long bytes) {
        double share = use == Use.REQUEST_HEAD ? 1 : BULK_SHARE;
        return reservedBytes + bytes <= maxBytes * share;
    }

    /**
     * Returns whether bytes that were read can be held: either they can be reserved, or the direct memory into which
     * they were read is not short. If not, they have to be passed on at once or their request has to be rejected.
     */
    public boolean canHold(Use use, long bytes) {
        return hasRoom(use, bytes) || !isDirectMemoryShort();
    }

    private boolean isDirectMemoryShort() {
        return PlatformDependent.usedDirectMemory() > maxDirectBytes * SHORT_DIRECT_SHARE;
    }

    /** Reserves memory that is held already. */
    public void reserve(Use use, long bytes) {
        reservedBytes += bytes;
        peakBytes = Math.max(peakBytes, reservedBytes);
        reservedByUse.merge(use, bytes, Long::sum);
    }

    /** Releases reserved memory. */
    public void release(Use use, long bytes) {
        reserve(use, -bytes);
    }

    /**
     * Returns whether memory is short, so that a client that already holds some must not get more. Direct memory is not
     * reserved here, but measured.
     */
    public boolean isShort() {
        return reservedBytes > maxBytes * SHORT_SHARE || isDirectMemoryShort();
    }

    /** Returns the number of bytes that are reserved for each use; uses without any are left out. */
    public Map<Use, Long> reservedByUse() {
        Map<Use, Long> nonZero = new EnumMap<>(reservedByUse);
        nonZero.values().removeIf(bytes -> bytes == 0);
        return nonZero;
    }

    /** Returns the number of reserved bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }

    /** Returns what is held and for what, for operators. */
    @Override
    public String toString() {
        return reservedBytes + " of " + maxBytes + " bytes are held for clients " + reservedByUse + ", " + peakBytes
                + " at the peak; " + PlatformDependent.usedDirectMemory() + " of " + maxDirectBytes
                + " bytes of direct memory are in use";
    }
}
