package martenlatch.gossip;

import java.util.Arrays;
import java.util.List;

/**
 * A message from one member to another; {@link MessageCodec} has its form on the wire.
 *
 * @param kind what the message is for
 * @param tier the sender's tier, as the settings number it
 * @param zone the sender's zone
 * @param from the sender's number
 * @param incarnation the sender's incarnation, seconds since {@link Incarnations#EPOCH_S}
 * @param sequence the probe that the message belongs to, by its prober's count
 * @param target the member that is to be probed, or whose answer this is
 * @param flags what the sender tells of itself, see {@link #LEAVING}, {@link #WAS_AWAY} and {@link #DEAF}
 * @param updates what the sender knows of members
 * @param accusations members that have not answered others
 * @param digests digests of parts of the sender's table: a member that knows otherwise answers with that part
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

    /** The sender leaves, and does not come back in this life. */
    static final int LEAVING = 1;
    /** The sender was paused for a while and knows it. */
    static final int WAS_AWAY = 2;
    /** The sender receives no messages. */
    static final int DEAF = 4;

    /** Kinds of messages. */
    enum Kind {
        /** Asks for an answer. */
        PING(1),
        /** Answers a probe, for the sender or for a member that it was asked to probe. */
        ACK(2),
        /** Asks the receiver to probe another member. */
        TRY(3),
        /** Carries news only. */
        GOSSIP(4);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** The number that stands for it on the wire. */
        int code() {
            return code;
        }

        /** The kind with this number, or null. */
        static Kind ofCode(int code) {
            return Arrays.stream(values())
                    .filter(kind -> kind.code == code)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** What an update tells of a peer. */
    enum Word {
        /** It is alive. */
        ALIVE(1),
        /** It was declared faulty. */
        FAULTY(2),
        /** It has left. */
        LEFT(3),
        /** It was heard: a suspicion is unfounded. */
        HEARD(4);

        private final int code;

        Word(int code) {
            this.code = code;
        }

        /** The number that stands for it on the wire. */
        int code() {
            return code;
        }

        /** The word with this number, or null. */
        static Word ofCode(int code) {
            return Arrays.stream(values())
                    .filter(word -> word.code == code)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** What is known of one peer. */
    record Update(int number, Word word, int zone, long incarnation) {}

    /** A member did not answer another. */
    record Accusation(int number, long incarnation, int accuser) {}

    /** The digest of one part of the member table. */
    record Digest(int bucket, int hash) {}

    Message {
        updates = List.copyOf(updates);
        accusations = List.copyOf(accusations);
        digests = List.copyOf(digests);
    }

    boolean hasFlag(int flag) {
        return (flags & flag) != 0;
    }
}
