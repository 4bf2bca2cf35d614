package martenlatch.front.http;

/**
 * The memory that bodies of requests may take while they are collected and until their answers, all
 * together.
 */
final class BodyRoom {

    /** So much of each body is not counted: most are smaller, and connections are bounded. */
    static final int FREE = 64 * 1024;
    /** The largest body that is collected. */
    static final int MOST_COLLECTED = 1024 * 1024;
    /** Part of the heap for all: a body is held twice for a moment, and the heap has other uses. */
    private static final int HEAP_PART = 8;

    private final long most;
    private long taken;

    BodyRoom(long heapBytes) {
        most = heapBytes / HEAP_PART;
    }

    /**
     * Takes room for a body to grow from one size to another; false if there is none, and nothing is taken.
     */
    boolean grow(int from, int to) {
        long more = counted(to) - counted(from);
        if (to > MOST_COLLECTED || taken + more > most) {
            return false;
        }
        taken += more;
        return true;
    }

    /** Gives back the room of a body of this size. */
    void release(int size) {
        taken -= counted(size);
    }

    long taken() {
        return taken;
    }

    private static int counted(int size) {
        return Math.max(0, size - FREE);
    }
}
