package martenlatch.gossip;

/**
 * The settings of a member.
 *
 * @param self the number of this member, from 0
 * @param memberCount the number of configured members, including this one
 * @param tier the tier of this member; messages of other tiers are dropped
 * @param zone the zone of this member, 0 to 31
 * @param periodMs the period in which each watched peer is probed once, in milliseconds
 * @param bytesPerSecond the bandwidth that the member may use on average; normal traffic stays far below it, and the
 *     limit bounds the traffic of message storms
 */
public record GossipSettings(int self, int memberCount, int tier, int zone, double periodMs, double bytesPerSecond) {

    private static final int MAX_MEMBERS = 10_000;
    private static final double MIN_PERIOD_MS = 100;
    private static final double MAX_PERIOD_MS = 60_000;
    private static final int MIN_BYTES_PER_SECOND = 500;
    private static final int MAX_TIER = 255;
    /**
     * One second: with three watchers for each member, the first one notices a failure within a few hundred
     * milliseconds.
     */
    private static final double DEFAULT_PERIOD_MS = 1000;
    /** Fleets without failures use a sixth of it; the updates on a whole zone are disseminated within a few seconds. */
    private static final double DEFAULT_BYTES_PER_SECOND = 3000;

    /** Checks that every value is within its range. */
    public GossipSettings {
        checkRange("told", memberCount, 1, MAX_MEMBERS);
        checkRange("self", self, 0, memberCount - 1);
        checkRange("tier", tier, 0, MAX_TIER);
        checkRange("zone", zone, 0, MessageCodec.MAX_ZONE);
        checkRange("period-ms", periodMs, MIN_PERIOD_MS, MAX_PERIOD_MS);
        checkRange("bytes-per-second", bytesPerSecond, MIN_BYTES_PER_SECOND, Integer.MAX_VALUE);
    }

    private static void checkRange(String field, double value, double min, double max) {
        if (!(value >= min && value <= max)) {
            throw new IllegalArgumentException(
                    "peers." + field + " must be " + (long) min + " to " + (long) max + " but is " + value);
        }
    }

    /** Returns settings with the default period and bandwidth. */
    public static GossipSettings withDefaults(int self, int memberCount, int tier, int zone) {
        return new GossipSettings(self, memberCount, tier, zone, DEFAULT_PERIOD_MS, DEFAULT_BYTES_PER_SECOND);
    }
}
