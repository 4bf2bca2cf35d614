package martenlatch.gossip;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/** Chooses peers at random or by the rings that all members share. */
final class PeerSelector {

    /** The number of random picks before the table is searched in order. */
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

    /** Returns whether the number is that of an alive peer, and not of this member. */
    boolean isAlive(int number) {
        return number != self && members.get(number).isIn(PeerState.ALIVE);
    }

    /**
     * Returns a random peer that passes the filter, or -1. After a few picks it is the first match after a random
     * position.
     */
    int random(IntPredicate filter) {
        int from = random.nextInt(members.size());
        for (int i = 0; i < members.size(); i++) {
            int number = i < RANDOM_PICKS ? random.nextInt(members.size()) : (from + i) % members.size();
            if (number != self && filter.test(number)) {
                return number;
            }
        }
        return -1;
    }

    /** Returns a random alive peer, or -1. */
    int randomAlive() {
        return random(this::isAlive);
    }

    /** Returns the alive peer that this member watches on a ring, or -1. */
    int watchedOn(int ring) {
        return rings.next(ring, self, this::isAlive);
    }

    /** Returns the alive peers that watch this member, and up to {@code randomCount} random alive ones. */
    Set<Integer> watchersAndRandom(int randomCount) {
        Set<Integer> chosen = new HashSet<>();
        for (int ring = 0; ring < ProbeRings.COUNT; ring++) {
            chosen.add(rings.previous(ring, self, this::isAlive));
        }
        return withRandom(chosen, randomCount, this::isAlive);
    }

    /** Returns the neighbours on all rings that pass the filter, and up to {@code randomCount} random matches. */
    Set<Integer> neighboursAndRandom(int randomCount, IntPredicate filter) {
        Set<Integer> chosen = new HashSet<>();
        for (int ring = 0; ring < ProbeRings.COUNT; ring++) {
            chosen.add(rings.next(ring, self, filter));
            chosen.add(rings.previous(ring, self, filter));
        }
        return withRandom(chosen, randomCount, filter);
    }

    /** Returns up to {@code count} random alive peers other than {@code excluded}. */
    Set<Integer> randomAliveExcept(int excluded, int count) {
        return withRandom(new HashSet<>(), count, number -> number != excluded && isAlive(number));
    }

    private Set<Integer> withRandom(Set<Integer> chosen, int count, IntPredicate filter) {
        for (int i = 0; i < count; i++) {
            chosen.add(random(filter));
        }
        chosen.remove(-1);
        return chosen;
    }
}
