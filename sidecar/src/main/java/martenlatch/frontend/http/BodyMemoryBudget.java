package martenlatch.frontend.http;

/** The memory that request bodies may hold, all together, while they are collected and until they are answered. */
final class BodyMemoryBudget {

    /** So many bytes of each body are not counted: most bodies are smaller, and connections are bounded. */
    static final int FREE_BYTES = 64 * 1024;
    /** The largest body that is collected, in bytes. */
    static final int MAX_COLLECTED_BYTES = 1024 * 1024;
    /** The heap is divided by this: a body is held twice for a moment, and the heap has other uses. */
    private static final int HEAP_DIVISOR = 8;

    private final long maxBytes;
    private long heldBytes;

    BodyMemoryBudget(long heapBytes) {
        maxBytes = heapBytes / HEAP_DIVISOR;
    }

    /** Reserves memory for a body to grow from one size to another; false if there is none, and nothing is reserved. */
    boolean tryGrow(int fromBytes, int toBytes) {
        long more = (long) counted(toBytes) - counted(fromBytes);
        if (toBytes > MAX_COLLECTED_BYTES || heldBytes + more > maxBytes) {
            return false;
        }
        heldBytes += more;
        return true;
    }

    /** Gives back the memory of a body of this size. */
    void release(int bytes) {
        heldBytes -= counted(bytes);
    }

    long heldBytes() {
        return heldBytes;
    }

    private static int counted(int bytes) {
        return Math.max(0, bytes - FREE_BYTES);
    }
}
