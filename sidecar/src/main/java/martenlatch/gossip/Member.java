package martenlatch.gossip;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** What is known of one peer. */
final class Member {

    /** More accusers than this change nothing. */
    private static final int MAX_ACCUSERS = 8;

    /** Some members did not get an answer from the peer. */
    static final class Suspicion {
        private final Set<Integer> accusers = new TreeSet<>();
        /** This member is one of them. */
        boolean own;

        double sinceMs;

        Suspicion(double sinceMs) {
            this.sinceMs = sinceMs;
        }

        /** Adds an accuser; true if it is new. */
        boolean add(int accuser) {
            return accusers.size() < MAX_ACCUSERS && accusers.add(accuser);
        }

        /** The numbers of the accusers. */
        List<Integer> accusers() {
            return List.copyOf(accusers);
        }
    }

    final int number;
    PeerState state = PeerState.ABSENT;
    /** The incarnation of the life that is known; 0 before any is. */
    long incarnation;

    int zone = -1;
    /** When a message of this life was last received from the peer. */
    double heardMs = Double.NEGATIVE_INFINITY;
    /** When a suspicion last came to nothing. */
    double clearedMs = Double.NEGATIVE_INFINITY;
    /** When this member last told others that it had heard the peer. */
    double toldHeardMs = Double.NEGATIVE_INFINITY;
    /** Null unless the peer is suspected. */
    Suspicion suspicion;

    Member(int number) {
        this.number = number;
    }

    boolean isIn(PeerState other) {
        return state == other;
    }

    /** Whether the peer may answer. */
    boolean mayLive() {
        return state == PeerState.ALIVE || state == PeerState.SUSPECT;
    }

    /** What is known of the peer, as it is told to others. */
    Message.Update asUpdate() {
        return new Message.Update(
                number,
                switch (state) {
                    case FAULTY -> Message.Word.FAULTY;
                    case LEFT -> Message.Word.LEFT;
                    default -> Message.Word.ALIVE;
                },
                Math.max(0, zone),
                incarnation);
    }
}
