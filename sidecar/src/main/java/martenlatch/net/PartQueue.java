package martenlatch.net;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import martenlatch.net.MemoryBudget.Use;

/**
 * The parts of a response body that wait for their client. They are taken in slices, so that only a slice at a time is
 * copied to the direct memory from which a socket is written.
 */
public final class PartQueue {

    /** The largest slice in bytes. */
    public static final int MAX_SLICE_BYTES = 8 * 1024;

    private final MemoryBudget memory;
    private final Deque<byte[]> parts = new ArrayDeque<>();
    /** The number of bytes of the first part that were taken. */
    private int takenOfFirst;

    /** Creates an empty queue. */
    public PartQueue(MemoryBudget memory) {
        this.memory = memory;
    }

    /** Adds a part, whose memory is reserved until it is taken or discarded. */
    public void add(byte[] part) {
        memory.reserve(Use.RESPONSE, part.length);
        parts.add(part);
    }

    public boolean isEmpty() {
        return parts.isEmpty();
    }

    /** Takes the next slice, or returns null if the queue is empty. */
    public byte[] poll() {
        byte[] first = parts.peek();
        if (first == null) {
            return null;
        }
        int end = Math.min(first.length, takenOfFirst + MAX_SLICE_BYTES);
        byte[] slice = takenOfFirst == 0 && end == first.length ? first : Arrays.copyOfRange(first, takenOfFirst, end);
        takenOfFirst = end;
        if (end == first.length) {
            removeFirst();
        }
        return slice;
    }

    private void removeFirst() {
        memory.release(Use.RESPONSE, parts.remove().length);
        takenOfFirst = 0;
    }

    /** Discards all parts. */
    public void clear() {
        while (!parts.isEmpty()) {
            removeFirst();
        }
    }
}
