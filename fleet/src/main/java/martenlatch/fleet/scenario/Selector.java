package martenlatch.fleet.scenario;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Selects parts of a fleet: {@code sidecar 3}, {@code sidecars}, {@code sidecars zone north},
 * {@code sidecars random 0.1}, the same forms for endpoints, {@code discovery}, {@code clients}.
 *
 * @param group the kind of part
 * @param number the number of a single part, or -1
 * @param zone the zone to select from, or empty for all zones
 * @param share the share of the parts to select at random, at least one part; 1 for all
 */
public record Selector(Group group, int number, String zone, double share) {

    /** Kinds of parts. */
    public enum Group {
        SIDECAR("n"),
        ENDPOINT("s"),
        DISCOVERY("discovery"),
        CLIENTS("clients");

        private final String prefix;

        Group(String prefix) {
            this.prefix = prefix;
        }

        /** Returns the name of the part with this number. */
        public String name(int number) {
            return this == SIDECAR || this == ENDPOINT ? prefix + number : prefix;
        }
    }

    private static final String SYNTAX = "sidecar N, sidecars, sidecars zone Z, sidecars random SHARE, the same of "
            + "endpoints, discovery or clients";

    /** Parses a selector. Throws an exception with the field and the value if it selects no part of the fleet. */
    public static Selector parse(String field, String text, Sizes sizes) {
        String[] words = text.trim().split("\\s+");
        Selector selector = words.length == 1
                ? parseGroup(words[0])
                : words.length == 2 ? parseNumbered(words) : parseSubset(words);
        if (selector == null) {
            throw new IllegalArgumentException(field + " must be " + SYNTAX + " but is \"" + text + "\"");
        }
        if (selector.number >= sizes.count(selector.group)) {
            throw new IllegalArgumentException(field + " must name one of " + sizes.count(selector.group)
                    + ", counted from 0, but is \"" + text + "\"");
        }
        if (!selector.zone.isEmpty() && !sizes.zones().contains(selector.zone)) {
            throw new IllegalArgumentException(
                    field + " must name one of the zones " + sizes.zones() + " but is \"" + text + "\"");
        }
        return selector;
    }

    private static Selector parseGroup(String word) {
        return switch (word) {
            case "sidecars" -> new Selector(Group.SIDECAR, -1, "", 1);
            case "endpoints" -> new Selector(Group.ENDPOINT, -1, "", 1);
            case "discovery" -> new Selector(Group.DISCOVERY, -1, "", 1);
            case "clients" -> new Selector(Group.CLIENTS, -1, "", 1);
            default -> null;
        };
    }

    private static Selector parseNumbered(String[] words) {
        Group group = words[0].equals("sidecar") ? Group.SIDECAR : words[0].equals("endpoint") ? Group.ENDPOINT : null;
        return group == null || !words[1].matches("\\d{1,6}")
                ? null
                : new Selector(group, Integer.parseInt(words[1]), "", 1);
    }

    private static Selector parseSubset(String[] words) {
        Selector all = parseGroup(words[0]);
        if (all == null || all.group == Group.DISCOVERY || all.group == Group.CLIENTS || words.length != 3) {
            return null;
        }
        if (words[1].equals("zone")) {
            return new Selector(all.group, -1, words[2], 1);
        }
        if (words[1].equals("random") && words[2].matches("0?\\.\\d+|1(\\.0+)?") && Double.parseDouble(words[2]) > 0) {
            return new Selector(all.group, -1, "", Double.parseDouble(words[2]));
        }
        return null;
    }

    /** Returns the names of the selected parts, in order; a random share is drawn with {@code random}. */
    public List<String> resolve(Sizes sizes, Random random) {
        List<Integer> numbers = new ArrayList<>(IntStream.range(0, sizes.count(group))
                .filter(i -> (number < 0 || i == number)
                        && (zone.isEmpty() || sizes.zoneOf(i).equals(zone)))
                .boxed()
                .toList());
        if (share < 1) {
            Collections.shuffle(numbers, random);
            numbers = numbers.subList(0, Math.max(1, (int) Math.round(share * numbers.size())));
            Collections.sort(numbers);
        }
        return numbers.stream().map(group::name).toList();
    }

    @Override
    public String toString() {
        String groupName = group.name().toLowerCase(Locale.ROOT);
        if (group == Group.DISCOVERY || group == Group.CLIENTS) {
            return groupName;
        }
        return number >= 0
                ? groupName + " " + number
                : groupName + "s" + (zone.isEmpty() ? share < 1 ? " random " + share : "" : " zone " + zone);
    }
}
