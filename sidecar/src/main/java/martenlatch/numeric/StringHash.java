package martenlatch.numeric;

/** String hashes that are the same in every process and on every machine. */
public final class StringHash {

    private static final int FNV_OFFSET_BASIS = 0x811c9dc5;
    private static final int FNV_PRIME = 0x01000193;
    private static final int FINALIZER_MULTIPLIER = 0x7feb352d;

    private StringHash() {}

    /** Returns the 32-bit FNV-1a hash of the UTF-16 code units with a finalizing mix, as a non-negative number. */
    public static long fnv1a32(String text) {
        int hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> 16;
        hash *= FINALIZER_MULTIPLIER;
        hash ^= hash >>> 15;
        return hash & 0xffffffffL;
    }
}
