package martenlatch.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Determines which member watches which. All members are placed on several rings, on each in a different order that is
 * the same at every member. Each member watches the next alive one on each ring. So each is watched by one member for
 * each ring, whatever the size of the fleet, and its watchers are independent of each other (Rapid; Suresh et al., ATC
 * 2018).
 */
final class ProbeRings {

    /**
     * The number of rings: with three, one watcher may be wrong and another dead, and the third still reports. A fourth
     * would cost another probe in each period.
     */
    static final int COUNT = 3;
    /** The seed of the orders. Any value works, but all members must use the same. */
    private static final long SHUFFLE_SEED = 20180711;

    /** The members in the order of each ring. */
    private final int[][] order = new int[COUNT][];
    /** The position of each member on each ring. */
    private final int[][] position = new int[COUNT][];

    ProbeRings(int memberCount) {
        for (int ring = 0; ring < COUNT; ring++) {
            List<Integer> numbers =
                    new ArrayList<>(IntStream.range(0, memberCount).boxed().toList());
            Collections.shuffle(numbers, new Random(SHUFFLE_SEED + ring));
            order[ring] = numbers.stream().mapToInt(Integer::intValue).toArray();
            position[ring] = new int[memberCount];
            for (int i = 0; i < memberCount; i++) {
                position[ring][order[ring][i]] = i;
            }
        }
    }

    /** Returns the next member on a ring that passes the filter, or -1. */
    int next(int ring, int from, IntPredicate filter) {
        int size = order[ring].length;
        for (int i = 1; i < size; i++) {
            int candidate = order[ring][(position[ring][from] + i) % size];
            if (filter.test(candidate)) {
                return candidate;
            }
        }
        return -1;
    }

    /** Returns the previous member on a ring that passes the filter, or -1. */
    int previous(int ring, int from, IntPredicate filter) {
        int size = order[ring].length;
        for (int i = 1; i < size; i++) {
            int candidate = order[ring][(position[ring][from] - i + size) % size];
            if (filter.test(candidate)) {
                return candidate;
            }
        }
        return -1;
    }
}
