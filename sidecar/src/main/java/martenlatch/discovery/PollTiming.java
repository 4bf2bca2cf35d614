package martenlatch.discovery;

import java.util.SplittableRandom;
import martenlatch.policy.api.BalancerSettings;

/**
 * How long discovery is asked to wait for news, and when it counts as silent. All times are milliseconds.
 *
 * @param waitMs how long a call may wait for something newer
 * @param owedMs within this time after its wait a call is answered, and an answer that has begun is whole
 * @param wholeMs what a call for the whole list may take
 */
public record PollTiming(long waitMs, double owedMs, double wholeMs) {

    /**
     * Longer waits would show late that a watch has fallen silent; shorter ones show it no sooner to those
     * who count what it misses as told, which is 6 s after it fell silent at the earliest.
     */
    static final int MOST_WAIT_MS = 20_000;

    static final int LEAST_WAIT_MS = 4_000;
    /**
     * What a silent watch misses counts as told 2 s after its wait: half of that is for noticing, the other
     * half for asking anew and for the answer.
     */
    static final int OWED_MS = 1_000;
    /**
     * An agent on the own machine answers at once and at no cost, and what it has counts as told: one that
     * was silent has to be heard well within a drain's grace once it speaks again.
     */
    private static final int AGENT_WAIT_MS = 300;

    private static final int AGENT_OWED_MS = 100;

    /**
     * The pace of the next call. Where discovery is asked, it waits one or two times what the site gives for
     * asking, at random, so that sidecars whose watches fell silent together, or ended together with nothing
     * new, do not come back together. It costs discovery no more calls than the site has it bear.
     */
    public static PollTiming next(BalancerSettings settings, SplittableRandom random) {
        return settings.pollsEndpointList()
                ? new PollTiming(
                        (long) Math.max(
                                LEAST_WAIT_MS,
                                Math.min(MOST_WAIT_MS, settings.rules().pollIntervalMs() * (1 + random.nextDouble()))),
                        OWED_MS,
                        EndpointListWatcher.SILENCE_MS)
                : new PollTiming(AGENT_WAIT_MS, AGENT_OWED_MS, AGENT_WAIT_MS);
    }
}
