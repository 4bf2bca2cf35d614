package martenlatch.policy;

import martenlatch.numeric.StringHash;
import martenlatch.policy.api.*;

/** The state and statistics that this balancer keeps of one endpoint process. */
final class EndpointState {

    static final double SLOWNESS_GAIN = 1.0 / 12; // weight of a new sample in slowness and response gap

    static final double FAILURE_GAIN = 1.0 / 4; // weight of a new sample in failure rate and congestion

    final String id;
    final long hash; // of the id; determines the order on the ring
    /** The entry as last listed by discovery. */
    Endpoint announced;

    /** The entry that applies: {@link #announced}, but draining if operators have disabled the endpoint. */
    Endpoint effective;

    boolean removed; // no longer known; attempts still in flight only release their slots
    long heldSlots; // bit i is set while slot i is in the pool
    Slot spareSlot; // next slot outside the pool, or null
    int inFlight; // attempts in flight at this endpoint
    int consecutiveFailures; // failures in a row; bounded, and halved at the end of a probation
    double failureRate; // moving average of failures among outcomes
    double lastResponseMs; // when this balancer last got a response; 0 if unknown
    double responseGapMs; // moving average of the time between two responses; 0 if unknown
    double congestion; // moving average of the congestion that responses show, on the limiter's scale
    double pausedUntilMs; // no spare slot is offered before this time
    /** True if connecting failed while another connection worked, and no attempt has succeeded since. */
    boolean connectFailed;
    /** True while the endpoint is restricted to one slot, until it has given enough good responses. */
    boolean onProbation;

    int probationResponses; // good responses since the last ejection
    /** Moving average of latency as a multiple of the request class's typical latency. */
    double slowness = 1;

    double cost = 1; // factor on the ranks of its slots, derived from slowness
    double ringPosition; // the same at every balancer that has the same endpoint list and ring

    EndpointState(Endpoint announced) {
        id = announced.id();
        effective = announced;
        hash = StringHash.fnv1a32(id);
    }

    /** Returns whether the endpoint accepts new requests. */
    boolean isReady() {
        return effective.status() == EndpointStatus.READY;
    }

    /** Records the time of a good response and the congestion that it shows. */
    void recordResponse(double nowMs, double responseCongestion) {
        congestion += FAILURE_GAIN * (responseCongestion - congestion);
        if (lastResponseMs > 0) {
            double gapMs = nowMs - lastResponseMs;
            responseGapMs += (responseGapMs == 0 ? 1 : SLOWNESS_GAIN) * (gapMs - responseGapMs);
        }
        lastResponseMs = nowMs;
    }

    /** Discards the statistics on outcomes and latency. */
    void resetStatistics() {
        consecutiveFailures = 0;
        failureRate = 0;
        pausedUntilMs = 0;
        slowness = 1;
        lastResponseMs = 0;
        congestion = 0;
        responseGapMs = 0;
    }
}
