package martenlatch.peers;

/**
 * What a member is told, and how it goes about.
 *
 * @param self its own number, from 0
 * @param told how many there are to be, itself among them: a number beyond it is nobody's
 * @param tier others' messages are none of ours
 * @param zone its own, 0 to 31
 * @param periodMs how often each member tries each of those that it watches
 * @param bytesPerSecond what it may send, on average: what it does on its own stays far below, so that this
 *     bounds what storms can make of it
 */
public record PeerSettings(int self, int told, int tier, int zone, double periodMs, double bytesPerSecond) {

    private static final int MOST_TOLD = 10_000;
    private static final double LEAST_PERIOD_MS = 100;
    private static final double MOST_PERIOD_MS = 60_000;
    private static final int LEAST_BYTES = 500;
    private static final int MOST_TIER = 255;
    /** A second: with three watchers each, the first notices within some hundred milliseconds. */
    private static final double USUAL_PERIOD_MS = 1000;
    /** Calm fleets take a sixth of it; news of a whole zone are through within some seconds. */
    private static final double USUAL_BYTES = 3000;

    public PeerSettings {
        within("told", told, 1, MOST_TOLD);
        within("self", self, 0, told - 1);
        within("tier", tier, 0, MOST_TIER);
        within("zone", zone, 0, MessageCodec.MOST_ZONE);
        within("period-ms", periodMs, LEAST_PERIOD_MS, MOST_PERIOD_MS);
        within("bytes-per-second", bytesPerSecond, LEAST_BYTES, Integer.MAX_VALUE);
    }

    private static void within(String field, double value, double least, double most) {
        if (!(value >= least && value <= most)) {
            throw new IllegalArgumentException(
                    "peers." + field + " must be " + (long) least + " to " + (long) most + " but is " + value);
        }
    }

    /** The usual ones. */
    public static PeerSettings usual(int self, int told, int tier, int zone) {
        return new PeerSettings(self, told, tier, zone, USUAL_PERIOD_MS, USUAL_BYTES);
    }
}
