package martenlatch.frontend.http;

/** The memory budget shared by all collected request bodies, which hold memory until their response is ready. */
final class BodyMemoryBudget {

    /** The bytes of each body that are not counted: most bodies are smaller, and connections are limited. */
    static final int UNCOUNTED_BYTES = 64 * 1024;
    /** The largest body that is collected, in bytes. */
    static final int MAX_COLLECTED_BYTES = 1024 * 1024;
    /** The budget is the heap divided by this: a body is briefly held twice, and the heap has other uses. */
    private static final int HEAP_DIVISOR = 8;

    private final long maxBytes;
    private long reservedBytes;

    /** Creates a budget for a heap of this size. */
    BodyMemoryBudget(long heapBytes) {
        maxBytes = heapBytes / HEAP_DIVISOR;
    }

    /** Reserves memory for a body to grow; returns false and reserves nothing if it is too large or memory is short. */
    boolean tryGrow(int fromBytes, int toBytes) {
        long additionalBytes = (long) countedBytes(toBytes) - countedBytes(fromBytes);
        if (toBytes > MAX_COLLECTED_BYTES || reservedBytes + additionalBytes > maxBytes) {
            return false;
        }
        reservedBytes += additionalBytes;
        return true;
    }

    /** Releases the memory of a body of this size. */
    void release(int bytes) {
        reservedBytes -= countedBytes(bytes);
    }

    /** Returns the number of reserved bytes, without the uncounted part of each body. */
    long reservedBytes() {
        return reservedBytes;
    }

    private static int countedBytes(int bytes) {
        return Math.max(0, bytes - UNCOUNTED_BYTES);
    }
}
