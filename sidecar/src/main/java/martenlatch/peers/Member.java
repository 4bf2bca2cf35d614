package martenlatch.peers;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** What is known of one peer. */
final class Member {

    /** More accusers than this change nothing. */
    private static final int MOST_ACCUSERS = 8;

    /** Somebody did not get an answer from it. */
    static final class Suspicion {
        private final Set<Integer> accusers = new TreeSet<>();
        /** We are one of them. */
        boolean own;

        double sinceMs;

        Suspicion(double sinceMs) {
            this.sinceMs = sinceMs;
        }

        /** Whether this one is new among them. */
        boolean add(int accuser) {
            return accusers.size() < MOST_ACCUSERS && accusers.add(accuser);
        }

        /** Those known of, by number. */
        List<Integer> accusers() {
            return List.copyOf(accusers);
        }
    }

    final int number;
    PeerState state = PeerState.ABSENT;
    /** Of the life that is known; 0 before any is. */
    long incarnation;

    int zone = -1;
    /** When we last had a message of this life from it. */
    double heardMs = Double.NEGATIVE_INFINITY;
    /** When a suspicion last came to nothing, and when we last said that we had heard it. */
    double clearedMs = Double.NEGATIVE_INFINITY;

    double saidMs = Double.NEGATIVE_INFINITY;
    Suspicion suspicion;

    Member(int number) {
        this.number = number;
    }

    boolean isIn(PeerState one) {
        return state == one;
    }

    /** It may answer. */
    boolean mayLive() {
        return state == PeerState.ALIVE || state == PeerState.SUSPECT;
    }

    /** As an update tells it; none where nothing is known. */
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
