package martenlatch.gossip;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Holds what is known of one peer. */
final class Member {

    /** The maximum number of accusers kept: further ones have no effect. */
    private static final int MAX_ACCUSERS = 8;

    /** A suspicion: the peer did not answer some members. */
    static final class Suspicion {
        private final Set<Integer> accusers = new TreeSet<>();
        /** Whether a probe by this member failed, so that this member is one of the accusers. */
        boolean ownProbeFailed;

        /** The time at which the suspicion began. */
        double sinceMs;

        Suspicion(double sinceMs) {
            this.sinceMs = sinceMs;
        }

        /** Adds an accuser; returns true if it is new. */
        boolean add(int accuser) {
            return accusers.size() < MAX_ACCUSERS && accusers.add(accuser);
        }

        /** Returns the numbers of the accusers. */
        List<Integer> accusers() {
            return List.copyOf(accusers);
        }
    }

    final int number;
    PeerState state = PeerState.ABSENT;
    /** The highest known incarnation of the peer; 0 if none is known. */
    long incarnation;

    /** The zone of the peer, or -1 if it is not known. */
    int zone = -1;
    /** The time at which a message of this incarnation was last received from the peer. */
    double lastHeardMs = Double.NEGATIVE_INFINITY;
    /** The time at which a suspicion was last cleared. */
    double suspicionClearedMs = Double.NEGATIVE_INFINITY;
    /** The time at which this member last reported that it had received a message from the peer. */
    double lastReportedHeardMs = Double.NEGATIVE_INFINITY;
    /** The suspicion against the peer, or null if it is not suspected. */
    Suspicion suspicion;

    Member(int number) {
        this.number = number;
    }

    boolean isIn(PeerState other) {
        return state == other;
    }

    /** Returns whether the peer may be alive. */
    boolean mayBeAlive() {
        return state == PeerState.ALIVE || state == PeerState.SUSPECT;
    }

    /** Returns the update on the peer to send to other members. */
    Message.Update asUpdate() {
        return new Message.Update(
                number,
                switch (state) {
                    case FAULTY -> Message.Status.FAULTY;
                    case LEFT -> Message.Status.LEFT;
                    default -> Message.Status.ALIVE;
                },
                Math.max(0, zone),
                incarnation);
    }
}
