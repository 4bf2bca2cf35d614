package martenlatch.policy;

/** How strongly calls prefer the balancer's own zone, and how many calls are usually in flight. */
final class LocalityRouting {

    private static final double SPILL_OVER_MULTIPLE = 3; // of the own zone's slots that the usual calls need
    private static final double CROSSING_MARGIN = 6; // multiple of the crossing price at which locality gives way
    private static final double LOCALITY_CUT = 0.7; // factor on locality at each refill while it gives way
    private static final double LOCALITY_REGAIN = 0.02; // what locality regains at each other refill
    private static final double CROWDING_GAIN = 1.0 / 16; // weight of a sample in the crowding of the zones
    private static final double USUAL_CALLS_PAUSES = 200; // refill pauses over which the usual calls are learned

    private static final double FIRST_SAMPLE_GAIN = 0.1; // weight of the first sample of that number

    private final BalancerState state;
    private double locality = 1; // as a share of its full strength

    private double ownZoneCrowding;
    private double otherZonesCrowding;
    private double demandMs; // base time of the calls taken since the last refill
    private double usualInFlight; // the calls in flight that this usually makes
    private double lastUpdateMs;
    double remoteRankPenalty; // by how much slots of other zones are ranked behind those of the own zone

    LocalityRouting(BalancerState state) {
        this.state = state;
    }

    void recordDemand(double baseMs) {
        demandMs += baseMs;
    }

    void recordCrowding(EndpointState endpoint, double crowding) {
        if (state.isRemote(endpoint)) {
            otherZonesCrowding += CROWDING_GAIN * (crowding - otherZonesCrowding);
        } else {
            ownZoneCrowding += CROWDING_GAIN * (crowding - ownZoneCrowding);
        }
    }

    /** Learns from the time since the last refill where the slots of other zones begin. */
    void update(double nowMs) {
        double elapsedMs = nowMs - lastUpdateMs;
        lastUpdateMs = nowMs;
        double inFlight = demandMs / Math.max(elapsedMs, 1);
        demandMs = 0;
        double pauses = Math.min(elapsedMs / state.refillPauseMs(), USUAL_CALLS_PAUSES);
        // A sudden flood is not the usual load: it counts for twice the usual at most.
        inFlight = usualInFlight == 0 ? inFlight : Math.min(inFlight, 2 * usualInFlight + 1);
        double gain = usualInFlight == 0 ? FIRST_SAMPLE_GAIN : pauses / USUAL_CALLS_PAUSES;
        usualInFlight += gain * (inFlight - usualInFlight);
        boolean givesWay = ownZoneCrowding > otherZonesCrowding + CROSSING_MARGIN * state.settings.crossZonePrice();
        locality = givesWay ? locality * LOCALITY_CUT : Math.min(1, locality + LOCALITY_REGAIN);
        // Other zones are known only from calls sent there: old samples fade towards uncrowded.
        otherZonesCrowding *= 1 - pauses / USUAL_CALLS_PAUSES;
        int balancers = state.settings.balancerCount();
        double penalty = locality * SPILL_OVER_MULTIPLE * (usualInFlight + 1) * balancers / state.readyInOwnZone;
        remoteRankPenalty = state.readyInOwnZone == 0 ? 0 : penalty;
    }
}
