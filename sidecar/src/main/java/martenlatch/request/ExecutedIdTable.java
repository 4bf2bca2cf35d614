package martenlatch.request;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/**
 * A bounded hash table of request ids with expiry times, in a buffer that two processes may share. It stores hashes of
 * ids, so that two ids are confused about once in 10<sup>12</sup> look-ups. Each slot is one 64-bit word, which is
 * replaced atomically:
 *
 * <pre>
 * | 40 bits: part of the hash | 24 bits: expiry time in units of 16 ms, modulo 2^24 |
 * </pre>
 *
 * <p>Another part of the hash determines the first of the {@link #PROBES} slots that may hold an id. A word of 0 is an
 * empty slot, and a word whose time is over may be replaced.
 */
public final class ExecutedIdTable {

    /** The usual size of a table in bytes. */
    public static final int BYTES = 1024 * 1024;

    /** The time of an id that the table does not hold. */
    static final long ABSENT = Long.MIN_VALUE;

    private static final int PROBES = 64;
    private static final int TIME_BITS = 24;
    private static final long TIME_MASK = (1L << TIME_BITS) - 1;
    private static final int TIME_UNIT_MS = 16;
    /** The longest time that an id may be held, well below half of the range of times. */
    static final long MAX_RETENTION_MS = (TIME_MASK / 4) * TIME_UNIT_MS;

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final long MIX = 0xff51afd7ed558ccdL;

    private static final VarHandle WORDS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer buffer;
    private final int slotMask;

    /**
     * Creates a view of a table.
     *
     * @param buffer a direct or mapped buffer, whose size is a power of two; one that is all zeros is an empty table
     */
    public ExecutedIdTable(ByteBuffer buffer) {
        int slots = buffer.capacity() / Long.BYTES;
        if (slots < PROBES || Integer.bitCount(slots) != 1) {
            throw new IllegalArgumentException("no size of a table: " + buffer.capacity() + " bytes");
        }
        this.buffer = buffer;
        slotMask = slots - 1;
    }

    /** Creates an empty table that is not shared. */
    public static ExecutedIdTable unshared() {
        return new ExecutedIdTable(ByteBuffer.allocateDirect(BYTES));
    }

    /**
     * Adds an id unless the table holds it.
     *
     * @return the expiry time of the id if it was present, {@link #ABSENT} if it was added, or null if there is no room
     */
    Long putIfAbsent(String id, long nowMs, long expiryMs) {
        long hash = hash(id);
        while (true) {
            int slot = find(hash, nowMs);
            if (slot >= 0) {
                return expiryMs(word(slot), nowMs);
            }
            int free = findReplaceable(hash, nowMs);
            if (free < 0) {
                return null;
            }
            if (replace(free, word(free), hash, expiryMs, nowMs)) {
                return isFirst(hash, free, nowMs) ? ABSENT : expiryMs(word(find(hash, nowMs)), nowMs);
            }
        }
    }

    /** Returns whether no other process has added the same id in an earlier slot at the same time; if so, gives way. */
    private boolean isFirst(long hash, int slot, long nowMs) {
        int first = find(hash, nowMs);
        if (first == slot || first < 0) {
            return true;
        }
        WORDS.setVolatile(buffer, slot * Long.BYTES, 0L);
        return false;
    }

    /** Sets the expiry time of an id that the table holds; adds it again if it has expired and there is room. */
    void setExpiry(String id, long nowMs, long expiryMs) {
        long hash = hash(id);
        int slot = find(hash, nowMs);
        if (slot < 0) {
            slot = findReplaceable(hash, nowMs);
        }
        if (slot >= 0) {
            WORDS.setVolatile(buffer, slot * Long.BYTES, toWord(hash, expiryMs));
        }
    }

    /** Removes an id. */
    void remove(String id, long nowMs) {
        int slot = find(hash(id), nowMs);
        if (slot >= 0) {
            WORDS.setVolatile(buffer, slot * Long.BYTES, 0L);
        }
    }

    private boolean replace(int slot, long expected, long hash, long expiryMs, long nowMs) {
        return !isLive(expected, nowMs)
                && WORDS.compareAndSet(buffer, slot * Long.BYTES, expected, toWord(hash, expiryMs));
    }

    /** Returns the slot that holds an id, or -1. */
    private int find(long hash, long nowMs) {
        for (int i = 0; i < PROBES; i++) {
            int slot = slot(hash, i);
            long word = word(slot);
            if ((word & ~TIME_MASK) == tag(hash) && isLive(word, nowMs)) {
                return slot;
            }
        }
        return -1;
    }

    /** Returns the first slot that may be used for an id, or -1. */
    private int findReplaceable(long hash, long nowMs) {
        for (int i = 0; i < PROBES; i++) {
            int slot = slot(hash, i);
            if (!isLive(word(slot), nowMs)) {
                return slot;
            }
        }
        return -1;
    }

    private long word(int slot) {
        return (long) WORDS.getVolatile(buffer, slot * Long.BYTES);
    }

    private static boolean isLive(long word, long nowMs) {
        long remaining = remainingUnits(word, nowMs);
        return word != 0 && remaining > 0 && remaining <= MAX_RETENTION_MS / TIME_UNIT_MS;
    }

    /** Returns the time until a word expires, in time units, modulo the range of times. */
    private static long remainingUnits(long word, long nowMs) {
        return (word - nowMs / TIME_UNIT_MS) & TIME_MASK;
    }

    private static long expiryMs(long word, long nowMs) {
        return (nowMs / TIME_UNIT_MS + remainingUnits(word, nowMs)) * TIME_UNIT_MS;
    }

    private static long toWord(long hash, long expiryMs) {
        long word = tag(hash) | (expiryMs / TIME_UNIT_MS & TIME_MASK);
        // A word of 0 would be an empty slot.
        return word == 0 ? TIME_MASK + 1 : word;
    }

    private static long tag(long hash) {
        return hash & ~TIME_MASK;
    }

    private int slot(long hash, int probe) {
        return (int) ((hash & TIME_MASK) + probe) & slotMask;
    }

    /** Returns FNV-1a of the id with its bits mixed; it must be the same in all versions of the program. */
    private static long hash(String id) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        hash = (hash ^ (hash >>> 33)) * MIX;
        return hash ^ (hash >>> 33);
    }
}
