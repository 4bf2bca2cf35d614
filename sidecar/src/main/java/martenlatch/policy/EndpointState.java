package martenlatch.policy;

import martenlatch.numeric.StringHash;
import martenlatch.policy.api.*;

/** What this balancer knows about one endpoint process. */
final class EndpointState {

    static final double SLOWNESS_GAIN = 1.0 / 12; // weight of a sample in slowness and answer gap

    static final double FAILURE_GAIN = 1.0 / 4; // weight of a new sample in an endpoint's failure rate and crowding

    final String id;
    final long hash;
    /** As discovery last announced it, and as it counts: one disabled by operators counts as draining. */
    Endpoint announced;

    Endpoint effective;
    boolean removed; // no longer known: attempts still in flight only give back what they hold
    long heldSlots; // one bit for each of its slots in the pool
    Slot spareSlot; // its next slot outside the pool, if it may have one
    int inFlight;
    int consecutiveFailures;
    double failureRate; // moving average of failures among its outcomes
    double lastAnswerMs; // when it last answered this balancer; 0 if unknown
    double answerGapMs; // the usual gap between two answers; 0 if unknown
    double crowding; // moving average of the crowding shown by its answers, on the scale of the limiter's pressure
    double pausedUntilMs; // no new slot is offered before this time
    /** A connect has failed while other connections to it worked, and nothing was answered since. */
    boolean connectFailed;
    /** One slot at a time, until enough probation answers have come. */
    boolean onProbation;

    int probationAnswers;
    /** Its answer times as a multiple of its classes' typical ones, and the slot cost derived from that. */
    double slowness = 1;

    double cost = 1;
    double ringPosition; // position on the ring of balancers, equal at every balancer with the same endpoint list

    EndpointState(Endpoint announced) {
        id = announced.id();
        effective = announced;
        hash = StringHash.fnv1a32(id);
    }

    boolean isReady() {
        return effective.status() == EndpointStatus.READY;
    }

    void recordAnswer(double nowMs, double answerCrowding) {
        crowding += FAILURE_GAIN * (answerCrowding - crowding);
        if (lastAnswerMs > 0) {
            double gap = nowMs - lastAnswerMs;
            answerGapMs += (answerGapMs == 0 ? 1 : SLOWNESS_GAIN) * (gap - answerGapMs);
        }
        lastAnswerMs = nowMs;
    }

    void resetStatistics() {
        consecutiveFailures = 0;
        failureRate = 0;
        pausedUntilMs = 0;
        slowness = 1;
        lastAnswerMs = 0;
        crowding = 0;
        answerGapMs = 0;
    }
}
