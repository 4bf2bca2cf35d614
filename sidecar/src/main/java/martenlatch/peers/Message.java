package martenlatch.peers;

import java.util.List;

/**
 * What one peer says to another; {@link MessageCodec} has its form on the wire.
 *
 * @param tier the sender's, as the settings number it
 * @param zone the sender's
 * @param from the sender's number
 * @param incarnation the sender's, seconds since {@link Incarnations#EPOCH_S}
 * @param sequence which probe it belongs to, by its prober's count
 * @param target whom a probe is meant for, or whose answer it is
 * @param flags what the sender says of itself, see {@link #LEAVING}, {@link #WAS_AWAY} and {@link #DEAF}
 * @param digests of parts of what the sender knows: who knows otherwise answers with that part
 */
record Message(
        Kind kind,
        int tier,
        int zone,
        int from,
        long incarnation,
        int sequence,
        int target,
        int flags,
        List<Update> updates,
        List<Accusation> accusations,
        List<Digest> digests) {

    /** The sender goes, and will not be back as the one it is. */
    static final int LEAVING = 1;
    /** The sender stood still for a while and knows it. */
    static final int WAS_AWAY = 2;
    /** The sender hears nobody. */
    static final int DEAF = 4;

    /** Kinds of messages. */
    enum Kind {
        /** Asks for an answer. */
        PING,
        /** Answers, for oneself or for whom one was asked to try. */
        ACK,
        /** Asks to try somebody else. */
        TRY,
        /** Only tells. */
        GOSSIP
    }

    /** What an update says of a peer. */
    enum Word {
        ALIVE,
        FAULTY,
        LEFT,
        HEARD
    }

    /** News of a peer. */
    record Update(int number, Word word, int zone, long incarnation) {}

    /** A peer did not answer another. */
    record Accusation(int number, long incarnation, int accuser) {}

    /** What is known of one part of the fleet, in short. */
    record Digest(int bucket, int hash) {}

    Message {
        updates = List.copyOf(updates);
        accusations = List.copyOf(accusations);
        digests = List.copyOf(digests);
    }

    boolean says(int flag) {
        return (flags & flag) != 0;
    }
}
