package martenlatch.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Which member watches which. All members are placed on several rings, on each in another order that is the same at
 * every member; each watches the next living one on each ring. So each is watched by as many as there are rings,
 * whatever the fleet's size, and its watchers have little else in common (Rapid; Suresh et al., ATC 2018).
 */
final class ProbeRings {

    /** One watcher may be wrong and another dead, and the third still tells; one more would cost a probe a period. */
    static final int COUNT = 3;
    /** Any value would do; all members must have the same. */
    private static final long SEED = 20180711;

    private final int[][] order = new int[COUNT][];
    private final int[][] place = new int[COUNT][];

    ProbeRings(int memberCount) {
        for (int ring = 0; ring < COUNT; ring++) {
            List<Integer> numbers =
                    new ArrayList<>(IntStream.range(0, memberCount).boxed().toList());
            Collections.shuffle(numbers, new Random(SEED + ring));
            order[ring] = numbers.stream().mapToInt(Integer::intValue).toArray();
            place[ring] = new int[memberCount];
            for (int i = 0; i < memberCount; i++) {
                place[ring][order[ring][i]] = i;
            }
        }
    }

    /** The next wanted member on a ring, or -1. */
    int next(int ring, int from, IntPredicate wanted) {
        int size = order[ring].length;
        for (int i = 1; i < size; i++) {
            int other = order[ring][(place[ring][from] + i) % size];
            if (wanted.test(other)) {
                return other;
            }
        }
        return -1;
    }

    /** The previous wanted member on a ring, or -1. */
    int before(int ring, int from, IntPredicate wanted) {
        int size = order[ring].length;
        for (int i = 1; i < size; i++) {
            int other = order[ring][(place[ring][from] - i + size) % size];
            if (wanted.test(other)) {
                return other;
            }
        }
        return -1;
    }
}
