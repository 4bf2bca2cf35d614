package martenlatch.gossip;

/**
 * The settings of a member.
 *
 * @param self its number, from 0
 * @param told the number of configured members, itself among them
 * @param tier its tier: messages of other tiers are dropped
 * @param zone its zone, 0 to 31
 * @param periodMs the period in which each watched peer is probed once, in milliseconds
 * @param bytesPerSecond the bandwidth that it may use on average: its ordinary work stays far below, so that this
 *     bounds what storms can make of it
 */
public record GossipSettings(int self, int told, int tier, int zone, double periodMs, double bytesPerSecond) {

    private static final int MAX_MEMBERS = 10_000;
    private static final double MIN_PERIOD_MS = 100;
    private static final double MAX_PERIOD_MS = 60_000;
    private static final int MIN_BYTES_PER_SECOND = 500;
    private static final int MAX_TIER = 255;
    /** A second: with three watchers each, the first notices within some hundred milliseconds. */
    private static final double DEFAULT_PERIOD_MS = 1000;
    /** Calm fleets take a sixth of it; news of a whole zone are through within some seconds. */
    private static final double DEFAULT_BYTES_PER_SECOND = 3000;

    /** Checks every value. */
    public GossipSettings {
        within("told", told, 1, MAX_MEMBERS);
        within("self", self, 0, told - 1);
        within("tier", tier, 0, MAX_TIER);
        within("zone", zone, 0, MessageCodec.MAX_ZONE);
        within("period-ms", periodMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
        within("bytes-per-second", bytesPerSecond, MIN_BYTES_PER_SECOND, Integer.MAX_VALUE);
    }

    private static void within(String field, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(
                    "peers." + field + " must be " + (long) min + " to " + (long) max + " but is " + value);
        }
    }

    /** Settings with the default period and bandwidth. */
    public static GossipSettings withDefaults(int self, int told, int tier, int zone) {
        return new GossipSettings(self, told, tier, zone, DEFAULT_PERIOD_MS, DEFAULT_BYTES_PER_SECOND);
    }
}
