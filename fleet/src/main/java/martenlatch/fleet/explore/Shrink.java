package martenlatch.fleet.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * Cuts a list down to as few entries as still fail, by delta debugging (ddmin; Zeller and Hildebrandt, IEEE
 * TSE 28(2), 2002): no single entry of what is left can be left out.
 */
public final class Shrink {

    private Shrink() {}

    /** The entries that matter, in their order; {@code fails} must hold of all of them together. */
    public static <T> List<T> of(List<T> all, Predicate<List<T>> fails) {
        if (!fails.test(all)) {
            throw new IllegalArgumentException("the plan must fail as it is but does not");
        }
        List<T> left = all;
        int parts = 2;
        while (left.size() >= 2) {
            List<T> smaller = smaller(left, Math.min(parts, left.size()), fails);
            if (smaller != null) {
                parts = Math.max(2, Math.min(parts, left.size()) - 1);
                left = smaller;
            } else if (parts >= left.size()) {
                break;
            } else {
                parts = Math.min(left.size(), parts * 2);
            }
        }
        return left;
    }

    private static <T> List<T> smaller(List<T> left, int parts, Predicate<List<T>> fails) {
        for (int i = 0; i < parts; i++) {
            int from = left.size() * i / parts;
            int to = left.size() * (i + 1) / parts;
            List<T> part = left.subList(from, to);
            if (part.size() < left.size() && fails.test(part)) {
                return List.copyOf(part);
            }
            List<T> rest = new ArrayList<>(left.subList(0, from));
            rest.addAll(left.subList(to, left.size()));
            if (!rest.isEmpty() && parts > 2 && fails.test(rest)) {
                return rest;
            }
        }
        return null;
    }
}
