package martenlatch.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * Who watches whom. All members stand on several rings, each in another order that is the same at every
 * member; each watches the next living one on each ring. So everybody is watched by as many as there are
 * rings, whatever the fleet's size, and those who watch one have little else in common (Rapid; Suresh et al.,
 * ATC 2018).
 */
final class Rings {

    /**
     * Three: one watcher may be wrong and another dead, and the third still tells; each more costs all
     * members a probe a period.
     */
    static final int COUNT = 3;
    /** Any would do; all members must have the same. */
    private static final long ORDER = 20180711;

    private final int[][] order = new int[COUNT][];
    private final int[][] place = new int[COUNT][];

    Rings(int told) {
        for (int ring = 0; ring < COUNT; ring++) {
            List<Integer> numbers =
                    new ArrayList<>(IntStream.range(0, told).boxed().toList());
            Collections.shuffle(numbers, new Random(ORDER + ring));
            order[ring] = numbers.stream().mapToInt(Integer::intValue).toArray();
            place[ring] = new int[told];
            for (int i = 0; i < told; i++) {
                place[ring][order[ring][i]] = i;
            }
        }
    }

    /** The next one on a ring of those wanted, or -1. */
    int next(int ring, int from, IntPredicate wanted) {
        int told = order[ring].length;
        for (int i = 1; i < told; i++) {
            int other = order[ring][(place[ring][from] + i) % told];
            if (wanted.test(other)) {
                return other;
            }
        }
        return -1;
    }

    /** The one before on a ring of those wanted, or -1. */
    int before(int ring, int from, IntPredicate wanted) {
        int told = order[ring].length;
        for (int i = 1; i < told; i++) {
            int other = order[ring][(place[ring][from] - i + told) % told];
            if (wanted.test(other)) {
                return other;
            }
        }
        return -1;
    }
}
