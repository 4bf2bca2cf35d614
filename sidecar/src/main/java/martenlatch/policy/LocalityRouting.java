package martenlatch.policy;

/** Computes how strongly requests prefer the balancer's own zone, from congestion and the usual requests in flight. */
final class LocalityRouting {

    /** Multiple of the own zone's usual load at which requests spill over. */
    private static final double SPILLOVER_MULTIPLE = 3;
    /** Multiple of the cross-zone price by which congestion must differ. */
    private static final double CROSS_ZONE_MARGIN = 6;
    /** Factor on the locality strength at each refill while the own zone is congested. */
    private static final double LOCALITY_DECREASE_FACTOR = 0.7;

    private static final double LOCALITY_INCREASE = 0.02; // rise of the locality strength at each refill otherwise
    private static final double CONGESTION_GAIN = 1.0 / 16; // weight of a sample in the congestion of the zones
    private static final double USUAL_LOAD_INTERVALS = 200; // refill intervals that the usual load is averaged over

    private static final double FIRST_SAMPLE_GAIN = 0.1; // weight of the first sample of the usual load

    private final BalancerState state;
    private double localityStrength = 1; // strength of the preference for the own zone, from 0 to 1

    private double ownZoneCongestion;
    private double otherZonesCongestion;
    private double demandMs; // sum of the base latencies of requests since the last update
    private double usualInFlight; // moving average of the requests in flight that the demand amounts to
    private double lastUpdateMs;
    double remoteRankPenalty; // added to the ranks of slots in other zones

    LocalityRouting(BalancerState state) {
        this.state = state;
    }

    /** Counts a request with this base latency as demand. */
    void recordDemand(double baseMs) {
        demandMs += baseMs;
    }

    /** Records a congestion sample of an endpoint for its zone. */
    void recordCongestion(EndpointState endpoint, double congestion) {
        if (state.isRemote(endpoint)) {
            otherZonesCongestion += CONGESTION_GAIN * (congestion - otherZonesCongestion);
        } else {
            ownZoneCongestion += CONGESTION_GAIN * (congestion - ownZoneCongestion);
        }
    }

    /** Updates the rank penalty of other zones from the demand and congestion since the last update. */
    void update(double nowMs) {
        double elapsedMs = nowMs - lastUpdateMs;
        lastUpdateMs = nowMs;
        double inFlight = demandMs / Math.max(elapsedMs, 1);
        demandMs = 0;
        double intervals = Math.min(elapsedMs / state.refillIntervalMs(), USUAL_LOAD_INTERVALS);
        // A sudden peak is not the usual load, so a sample counts for little more than twice the usual load.
        inFlight = usualInFlight == 0 ? inFlight : Math.min(inFlight, 2 * usualInFlight + 1);
        double gain = usualInFlight == 0 ? FIRST_SAMPLE_GAIN : intervals / USUAL_LOAD_INTERVALS;
        usualInFlight += gain * (inFlight - usualInFlight);
        boolean isOwnZoneCongested =
                ownZoneCongestion > otherZonesCongestion + CROSS_ZONE_MARGIN * state.settings.crossZonePrice();
        localityStrength = isOwnZoneCongested
                ? localityStrength * LOCALITY_DECREASE_FACTOR
                : Math.min(1, localityStrength + LOCALITY_INCREASE);
        // Samples of other zones come only from requests sent there, so old samples decay towards no congestion.
        otherZonesCongestion *= 1 - intervals / USUAL_LOAD_INTERVALS;
        int balancers = state.settings.balancerCount();
        double penalty = localityStrength * SPILLOVER_MULTIPLE * (usualInFlight + 1) * balancers / state.readyInOwnZone;
        remoteRankPenalty = state.readyInOwnZone == 0 ? 0 : penalty;
    }
}
