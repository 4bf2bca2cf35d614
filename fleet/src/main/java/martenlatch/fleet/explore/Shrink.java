package martenlatch.fleet.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Reduces a list to fewer entries that still fail, by delta debugging (ddmin; Zeller and Hildebrandt, IEEE TSE 28(2),
 * 2002). No single entry of the result can be removed without the failure disappearing.
 */
public final class Shrink {

    private Shrink() {}

    /** Returns the entries that are needed to fail, in their order. {@code fails} must accept the whole list. */
    public static <T> List<T> of(List<T> all, Predicate<List<T>> fails) {
        if (!fails.test(all)) {
            throw new IllegalArgumentException("the plan must fail as it is but does not");
        }
        List<T> remaining = all;
        int partCount = 2;
        while (remaining.size() >= 2) {
            List<T> smaller = removeOnePart(remaining, Math.min(partCount, remaining.size()), fails);
            if (smaller != null) {
                partCount = Math.max(2, Math.min(partCount, remaining.size()) - 1);
                remaining = smaller;
            } else if (partCount >= remaining.size()) {
                break;
            } else {
                partCount = Math.min(remaining.size(), partCount * 2);
            }
        }
        return remaining;
    }

    private static <T> List<T> removeOnePart(List<T> remaining, int partCount, Predicate<List<T>> fails) {
        for (int i = 0; i < partCount; i++) {
            int from = remaining.size() * i / partCount;
            int to = remaining.size() * (i + 1) / partCount;
            List<T> part = remaining.subList(from, to);
            if (part.size() < remaining.size() && fails.test(part)) {
                return List.copyOf(part);
            }
            List<T> rest = new ArrayList<>(remaining.subList(0, from));
            rest.addAll(remaining.subList(to, remaining.size()));
            if (!rest.isEmpty() && partCount > 2 && fails.test(rest)) {
                return rest;
            }
        }
        return null;
    }
}
