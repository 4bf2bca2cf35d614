package martenlatch.gossip;

import java.util.Arrays;
import java.util.List;

/**
 * A message from one member to another; {@link MessageCodec} defines its format on the wire.
 *
 * @param kind the purpose of the message
 * @param tier the number of the sender's tier in the settings
 * @param zone the sender's zone
 * @param from the sender's number
 * @param incarnation the sender's incarnation, in seconds since {@link Incarnations#EPOCH_S} plus refutations
 * @param sequence the sequence number of the probe that the message belongs to, assigned by the prober
 * @param target the member that is to be probed or that has answered
 * @param flags the state of the sender, see {@link #LEAVING}, {@link #WAS_PAUSED} and {@link #CUT_OFF}
 * @param updates states of members known to the sender
 * @param accusations reports that members have not answered others
 * @param digests digests of buckets of the sender's table; a receiver whose bucket differs answers with its updates
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

    /** The sender is leaving and does not return with this incarnation. */
    static final int LEAVING = 1;
    /** The sender was recently paused. */
    static final int WAS_PAUSED = 2;
    /** The sender receives no messages. */
    static final int CUT_OFF = 4;

    /** The kinds of messages. */
    enum Kind {
        /** A ping: requests an answer. */
        PING(1),
        /** Answers a probe, for the sender or for a member that the sender was asked to probe. */
        ACK(2),
        /** Requests that the receiver probes another member (ping-req in SWIM). */
        PROBE_REQUEST(3),
        /** Carries updates and accusations only. */
        GOSSIP(4);

        private final int code;

        Kind(int code) {
            this.code = code;
        }

        /** Returns the code on the wire. */
        int code() {
            return code;
        }

        /** Returns the kind with this code, or null. */
        static Kind ofCode(int code) {
            return Arrays.stream(values())
                    .filter(kind -> kind.code == code)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** The status of a peer in an update. */
    enum Status {
        /** The peer is alive. */
        ALIVE(1),
        /** The peer was declared faulty. */
        FAULTY(2),
        /** The peer has left. */
        LEFT(3),
        /** A message from the peer was received, so a suspicion against it is unfounded. */
        HEARD(4);

        private final int code;

        Status(int code) {
            this.code = code;
        }

        /** Returns the code on the wire. */
        int code() {
            return code;
        }

        /** Returns the status with this code, or null. */
        static Status ofCode(int code) {
            return Arrays.stream(values())
                    .filter(status -> status.code == code)
                    .findFirst()
                    .orElse(null);
        }
    }

    /** The known status, zone and incarnation of a peer. */
    record Update(int number, Status status, int zone, long incarnation) {}

    /** A report that the peer {@code number} did not answer {@code accuser}. */
    record Accusation(int number, long incarnation, int accuser) {}

    /** The digest of one bucket of the member table. */
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
