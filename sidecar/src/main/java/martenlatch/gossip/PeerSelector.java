package martenlatch.gossip;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/** Chooses peers: at random, or by the rings that all members share. */
final class PeerSelector {

    /** Random picks that are tried before the table is searched. */
    private static final int RANDOM_PICKS = 3;

    private final int self;
    private final MemberTable members;
    private final ProbeRings rings;
    private final SplittableRandom random;

    PeerSelector(int self, MemberTable members, SplittableRandom random) {
        this.self = self;
        this.members = members;
        this.random = random;
        rings = new ProbeRings(members.size());
    }

    boolean isAlive(int number) {
        return number != self && members.get(number).isIn(PeerState.ALIVE);
    }

    /** A random peer that is wanted, or -1; after a few picks it is the first one from a random place on. */
    int random(IntPredicate wanted) {
        int from = random.nextInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            int number = i < RANDOM_PICKS ? random.nextInt(members.size()) : (from + i) % members.size();
            if (number != self && wanted.test(number)) {
                return number;
            }
        }
        return -1;
    }

    int randomAlive() {
        return random(this::isAlive);
    }

    /** The living peer that this member watches on a ring, or -1. */
    int watchedOn(int ring) {
        return rings.next(ring, self, this::isAlive);
    }

    /** The living peers that watch this member, and so many random ones. */
    Set<Integer> watchersAnd(int randomCount) {
        Set<Integer> chosen = new HashSet<>();
        for (int ring = 0; ring < ProbeRings.COUNT; ring++) {
            chosen.add(rings.before(ring, self, this::isAlive));
        }
        return withRandom(chosen, randomCount, this::isAlive);
    }

    /** The wanted neighbours on all rings, and so many random ones. */
    Set<Integer> neighboursAnd(int randomCount, IntPredicate wanted) {
        Set<Integer> chosen = new HashSet<>();
        for (int ring = 0; ring < ProbeRings.COUNT; ring++) {
            chosen.add(rings.next(ring, self, wanted));
            chosen.add(rings.before(ring, self, wanted));
        }
        return withRandom(chosen, randomCount, wanted);
    }

    /** Up to so many random living peers other than {@code excluded}. */
    Set<Integer> randomAliveExcept(int excluded, int count) {
        return withRandom(new HashSet<>(), count, number -> number != excluded && isAlive(number));
    }

    private Set<Integer> withRandom(Set<Integer> chosen, int count, IntPredicate wanted) {
        for (int i = 0; i < count; i++) {
            chosen.add(random(wanted));
        }
        chosen.remove(-1);
        return chosen;
    }
}
