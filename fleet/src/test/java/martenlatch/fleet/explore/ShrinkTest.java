package martenlatch.fleet.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Plans are cut down to what matters. */
class ShrinkTest {

    @Test
    void ofTwelveTheTwoThatMatterAreLeft() {
        List<Integer> twelve = IntStream.range(0, 12).boxed().toList();
        for (int a = 0; a < 12; a++) {
            for (int b = a + 1; b < 12; b++) {
                List<Integer> both = List.of(a, b);
                assertEquals(both, Shrink.of(twelve, plan -> plan.containsAll(both)));
            }
        }
    }

    /** Whatever fails, of what is left nothing can be left out. */
    @Test
    void nothingMoreCanBeLeftOut() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<Integer> all =
                    IntStream.range(0, 1 + random.nextInt(30)).boxed().toList();
            int sum = 1 + random.nextInt(all.stream().mapToInt(i -> i + 1).sum());
            Predicate<List<Integer>> fails =
                    plan -> plan.stream().mapToInt(i -> i + 1).sum() >= sum;
            List<Integer> left = Shrink.of(all, fails);
            assertEquals(true, fails.test(left));
            for (Integer one : left) {
                assertEquals(
                        false,
                        left.size() > 1
                                && fails.test(left.stream()
                                        .filter(i -> !i.equals(one))
                                        .toList()),
                        "seed " + seed);
            }
        }
    }

    @Test
    void aPlanThatDoesNotFailIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> Shrink.of(List.of(1), plan -> false));
    }
}
