package martenlatch.frontend.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import martenlatch.net.MemoryBudget;
import martenlatch.net.MemoryBudget.Use;

/**
 * The header fields of a request, or the trailer fields after its body, as they are decoded. Their number is limited,
 * and their memory is reserved field by field, because a short field takes far more memory than bytes of input.
 */
final class RequestHeaders extends DefaultHttpHeaders {

    /** Makes room in the memory budget at the expense of connections that hold more. */
    interface MemoryReclaimer {
        /** Closes a connection whose incomplete head holds more than this; returns false if there is none. */
        boolean reclaim(int ownBytes);
    }

    /** The largest number of fields in a head. */
    static final int MAX_FIELDS = 128;
    /** The memory that a field takes besides its characters: a map entry, two strings and their arrays. */
    private static final int FIELD_OVERHEAD_BYTES = 160;

    private final MemoryBudget memory;
    private final MemoryReclaimer reclaimer;
    private int fields;
    private int reservedBytes;
    /** Whether the memory has been released; no more fields can be added then. */
    private boolean released;

    RequestHeaders(MemoryBudget memory, MemoryReclaimer reclaimer) {
        this.memory = memory;
        this.reclaimer = reclaimer;
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        onField(name, value);
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        onField(name, value);
        return super.add(name, value);
    }

    private void onField(CharSequence name, Object value) {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        int bytes = FIELD_OVERHEAD_BYTES + name.length() + (value instanceof CharSequence text ? text.length() : 0);
        if (released || !tryReserve(bytes)) {
            throw new MemoryShortageException();
        }
        reservedBytes += bytes;
    }

    private boolean tryReserve(int bytes) {
        boolean reserved = memory.tryReserve(Use.REQUEST_HEAD, bytes);
        while (!reserved && reclaimer.reclaim(reservedBytes + bytes)) {
            reserved = memory.tryReserve(Use.REQUEST_HEAD, bytes);
        }
        return reserved;
    }

    /** Returns the memory that is reserved for these fields, in bytes. */
    int reservedBytes() {
        return reservedBytes;
    }

    /** Releases the reserved memory; further calls have no effect. */
    void release() {
        memory.release(Use.REQUEST_HEAD, reservedBytes);
        reservedBytes = 0;
        released = true;
    }
}
