package martenlatch.fleet.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests that plans are reduced to the faults that are needed to fail. */
class ShrinkTest {

    @Test
    void reducesTwelveEntriesToTheTwoThatMatter() {
        List<Integer> twelve = IntStream.range(0, 12).boxed().toList();
        for (int a = 0; a < 12; a++) {
            for (int b = a + 1; b < 12; b++) {
                List<Integer> both = List.of(a, b);
                assertEquals(both, Shrink.of(twelve, plan -> plan.containsAll(both)));
            }
        }
    }

    /** Removing any single entry from the result must make the failure disappear, for random lists and conditions. */
    @Test
    void noSingleEntryOfTheResultCanBeRemoved() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            List<Integer> all =
                    IntStream.range(0, 1 + random.nextInt(30)).boxed().toList();
            int sum = 1 + random.nextInt(all.stream().mapToInt(i -> i + 1).sum());
            Predicate<List<Integer>> fails =
                    plan -> plan.stream().mapToInt(i -> i + 1).sum() >= sum;
            List<Integer> remaining = Shrink.of(all, fails);
            assertEquals(true, fails.test(remaining));
            for (Integer one : remaining) {
                assertEquals(
                        false,
                        remaining.size() > 1
                                && fails.test(remaining.stream()
                                        .filter(i -> !i.equals(one))
                                        .toList()),
                        "seed " + seed);
            }
        }
    }

    @Test
    void rejectsAPlanThatDoesNotFail() {
        assertThrows(IllegalArgumentException.class, () -> Shrink.of(List.of(1), plan -> false));
    }
}
