package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.EndpointListKind;
import martenlatch.policy.api.PollFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests when discovery is polled, for single events and for any sequence of events. */
class EndpointListPollingTest {

    private static final int SEEDS = 500;
    /** The longest time until a change is known, once discovery has it and is reachable. */
    private static final double MAX_LIST_AGE_MS = 6000;
    /** The time within which discovery answers or rejects a poll. */
    private static final double POLL_DURATION_MS = 2000;
    /** The longest delay; together with a poll of 2 s before or after it, it stays within the 6 s. */
    private static final double MAX_DELAY_MS = 3000;

    private static BalancerSettings settings(int balancerCount, double pollIntervalMs) {
        return BalancerFixture.settings(balancerCount, 0, 1, true, pollIntervalMs);
    }

    private static double longestMs(List<Double> delays) {
        return Collections.max(delays);
    }

    /** Guards against a start delay of half a poll interval, 5 s, with a list of any age (incident 7111). */
    @Test
    void newProcessPollsWithinTwoSeconds() {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            delays.add(polling.delayAtStart(settings(100, 10_000)));
            assertTrue(polling.takeDuePoll(0));
        }
        assertTrue(
                longestMs(delays) > 1900 && longestMs(delays) <= 2000,
                "the polls of a fleet are spread: " + longestMs(delays));
        EndpointListPolling singleBalancer = new EndpointListPolling(new SplittableRandom(1));
        assertEquals(0, singleBalancer.delayAtStart(settings(1, 10_000)));
    }

    /**
     * The longest delay is the part of the 6 s that the failed and the next poll leave, bounded by the poll interval.
     * Guards against a longer delay where nothing of the 6 s is left (incident 94dd5d); a fleet whose lists are all
     * overdue still spreads its polls, within half of the grace of a drain.
     */
    @ParameterizedTest
    @CsvSource({
        "10000, 0, 3000",
        "10000, 1500, 2500",
        "10000, 2000, 2000",
        "10000, 3000, 1000",
        "10000, 3500, 500",
        "10000, 3900, 250",
        "10000, 15000, 250",
        "60000, 2000, 2000",
        "1000, 0, 3000",
        "500, 0, 1500",
        "500, 2500, 1500"
    })
    void delayAfterAFailureIsThePartOfTheBudgetThatPollsLeave(
            double pollIntervalMs, double failedAfterMs, double maxDelayMs) {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            BalancerSettings settings = settings(100, pollIntervalMs);
            double nowMs = polling.delayAtStart(settings);
            for (int failure = 0; failure < 4; failure++) {
                assertTrue(polling.takeDuePoll(nowMs));
                nowMs += failedAfterMs;
                double delayMs = polling.delayAfterFailure(nowMs, PollFailure.REJECTED, failedAfterMs, settings);
                delays.add(delayMs);
                nowMs += delayMs;
            }
        }
        assertTrue(longestMs(delays) > 0.9 * maxDelayMs && longestMs(delays) <= maxDelayMs, "" + longestMs(delays));
    }

    /**
     * The end of a watch leaves the part of the 6 s that the age of the list and the next poll leave, however long the
     * watch was open. Guards against the longest delay after a watch that had been silent for long (incident 94dd5d).
     */
    @ParameterizedTest
    @CsvSource({"0, 3000", "1500, 2500", "3000, 1000", "4000, 250", "13600, 250"})
    void delayAfterAWatchIsThePartOfTheBudgetThatTheAgeOfTheListLeaves(double listAgeMs, double maxDelayMs) {
        for (PollFailure failure : List.of(PollFailure.REJECTED, PollFailure.CONNECTION_LOST)) {
            List<Double> delays = new ArrayList<>();
            for (int seed = 0; seed < SEEDS; seed++) {
                delays.add(delayAfterWatch(seed, failure, listAgeMs, 100));
            }
            boolean isSpread = failure == PollFailure.CONNECTION_LOST || longestMs(delays) > 0.9 * maxDelayMs;
            assertTrue(longestMs(delays) <= maxDelayMs && isSpread, failure + ": " + longestMs(delays));
        }
    }

    /** A single balancer, or a few, need not spread their polls: an overdue list is polled at once. */
    @ParameterizedTest
    @CsvSource({"1, 0", "16, 150", "100, 250"})
    void overdueListIsPolledAtOnce(int balancerCount, double maxDelayMs) {
        for (int seed = 0; seed < SEEDS; seed++) {
            double delayMs = delayAfterWatch(seed, PollFailure.CONNECTION_LOST, 9000, balancerCount);
            assertTrue(delayMs <= maxDelayMs, "" + delayMs);
        }
    }

    private static double delayAfterWatch(int seed, PollFailure failure, double listAgeMs, int balancerCount) {
        EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
        BalancerSettings settings = settings(balancerCount, 10_000);
        assertTrue(polling.takeDuePoll(polling.delayAtStart(settings)));
        polling.onList();
        return polling.delayAfterFailure(15_000, failure, listAgeMs, settings);
    }

    /** Connections that are lost in a row are replaced with a growing delay, so that the polls are no tight loop. */
    @Test
    void delaysGrowWhileConnectionsAreLostInARow() {
        BalancerSettings settings = settings(16, 10_000);
        double[] longestMs = new double[7];
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            double nowMs = polling.delayAtStart(settings);
            for (int failure = 0; failure < longestMs.length; failure++) {
                assertTrue(polling.takeDuePoll(nowMs));
                double delayMs = polling.delayAfterFailure(nowMs, PollFailure.CONNECTION_LOST, 0, settings);
                longestMs[failure] = Math.max(longestMs[failure], delayMs);
                nowMs += delayMs;
            }
        }
        for (int failure = 0; failure < longestMs.length; failure++) {
            double maxDelayMs = Math.min(MAX_DELAY_MS, 400 * Math.pow(2, failure));
            assertTrue(
                    longestMs[failure] > 0.9 * maxDelayMs && longestMs[failure] <= maxDelayMs,
                    "failure " + failure + ": " + longestMs[failure]);
        }
    }

    /**
     * A change must be known within 6 s after discovery is reachable again, including the duration of the polls. Here
     * every poll fails after the same time until discovery is back. Guards against delays of up to 3 s that ignore the
     * duration of the failed poll, which could add up to 7 s.
     */
    @ParameterizedTest
    @CsvSource({"0, 100", "12, 100", "1000, 100", "2000, 100", "2000, 2", "3000, 100"})
    void changeIsKnownInTimeOnceDiscoveryIsReachableAgain(double failsAfterMs, int balancerCount) {
        BalancerSettings settings = settings(balancerCount, 10_000);
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double backAtMs = 20_000 * random.nextDouble();
            EndpointListPolling polling = new EndpointListPolling(random.split());
            double nowMs = polling.delayAtStart(settings);
            assertTrue(polling.takeDuePoll(nowMs));
            double listAgeMs = 0;
            while (nowMs < backAtMs) {
                nowMs += failsAfterMs;
                nowMs += polling.delayAfterFailure(nowMs, PollFailure.REJECTED, listAgeMs, settings);
                listAgeMs = Double.POSITIVE_INFINITY;
                assertTrue(polling.takeDuePoll(nowMs));
            }
            double knownAfterMs = nowMs + POLL_DURATION_MS - backAtMs;
            assertTrue(knownAfterMs <= MAX_LIST_AGE_MS, "known after " + knownAfterMs + " ms, seed " + seed);
        }
    }

    /**
     * The first list of a process is as old as its response took, and the response to the next poll may take as long.
     * Both and the delay between them share the 6 s, or there is no delay.
     */
    @ParameterizedTest
    @CsvSource({"0, 3000", "1500, 2500", "2500, 1000", "3000, 0", "5000, 0"})
    void delayAfterFirstListIsThePartOfTheBudgetThatResponsesLeave(double listAgeMs, double maxDelayMs) {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            BalancerSettings settings = settings(100, 10_000);
            assertTrue(polling.takeDuePoll(polling.delayAtStart(settings)));
            polling.onList();
            delays.add(polling.delayAfterFirstList(10_000, listAgeMs, settings));
        }
        assertTrue(longestMs(delays) >= 0.9 * maxDelayMs && longestMs(delays) <= maxDelayMs, "" + longestMs(delays));
    }

    /** A watch may have been idle for long when it ends, so the next poll must follow soon and within the interval. */
    @ParameterizedTest
    @CsvSource({"1000, 500", "4000, 2000", "10000, 3000"})
    void endedWatchIsReopenedSoon(double pollIntervalMs, double maxDelayMs) {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            polling.onList();
            delays.add(polling.delayAfterFailure(15_000, PollFailure.REJECTED, 0, settings(100, pollIntervalMs)));
        }
        assertTrue(longestMs(delays) > 0.9 * maxDelayMs && longestMs(delays) <= maxDelayMs, "" + longestMs(delays));
    }

    /** For any sequence of events, the next poll is due within the longest delay while no watch is open. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100, 1000})
    void nextPollIsDueInTimeForAnySequenceOfEvents(int balancerCount) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EndpointListPolling polling = new EndpointListPolling(random.split());
            BalancerSettings settings = settings(balancerCount, 10_000);
            TreeSet<Double> timers = new TreeSet<>();
            timers.add(polling.delayAtStart(settings));
            double unwatchedSinceMs = 0;
            double polledAtMs = Double.NaN;
            for (double nowMs = 0; nowMs < 60_000; nowMs += 1 + random.nextInt(400)) {
                while (!timers.isEmpty() && timers.first() <= nowMs) {
                    double at = timers.pollFirst();
                    if (polling.takeDuePoll(at)) {
                        polledAtMs = at;
                    }
                }
                boolean isPolling = !Double.isNaN(polledAtMs);
                if (!isPolling) {
                    double dueMs = unwatchedSinceMs + MAX_DELAY_MS;
                    assertTrue(nowMs <= dueMs + 1, "no poll at " + nowMs + ", due at " + dueMs + ", seed " + seed);
                    assertFalse(timers.isEmpty(), "seed " + seed);
                }
                switch (random.nextInt(12)) {
                    case 0 -> {
                        if (isPolling) {
                            polling.onList();
                        }
                    }
                    case 1 -> {
                        if (isPolling) {
                            unwatchedSinceMs = nowMs;
                            polledAtMs = Double.NaN;
                            PollFailure failure =
                                    random.nextBoolean() ? PollFailure.REJECTED : PollFailure.CONNECTION_LOST;
                            double listAgeMs = 8000 * random.nextDouble();
                            timers.add(nowMs + polling.delayAfterFailure(nowMs, failure, listAgeMs, settings));
                        }
                    }
                    case 2, 3 -> {
                        if (isPolling) {
                            unwatchedSinceMs = nowMs;
                        }
                        polledAtMs = Double.NaN;
                        timers.add(nowMs + polling.delayAfterMove(nowMs, 8000 * random.nextDouble(), settings));
                    }
                    default -> {
                        // Time passes.
                    }
                }
            }
        }
    }

    /** Guards against address changes in a row that each start a new delay and so postpone the poll. */
    @Test
    void addressChangesInARowDoNotPostponeThePoll() {
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            BalancerSettings settings = settings(100, 10_000);
            polling.onList();
            double dueAtMs = 1000 + polling.delayAfterMove(1000, 0, settings);
            for (double nowMs = 1000; nowMs < dueAtMs; nowMs += 100) {
                dueAtMs = Math.min(dueAtMs, nowMs + polling.delayAfterMove(nowMs, 0, settings));
            }
            assertTrue(dueAtMs <= 4000, "polled " + (dueAtMs - 1000) + " ms after the first move, seed " + seed);
            assertTrue(polling.takeDuePoll(dueAtMs));
            assertFalse(polling.takeDuePoll(dueAtMs + 10), "one poll, however many timers there were");
        }
    }

    /** The load balancer uses these delays, and polls only once when several timers are due. */
    @Test
    void balancerSchedulesItsPollsWithTheseDelays() {
        BalancerSettings polled = withPolling(settings(100, 10_000));
        BalancerFixture fixture = new BalancerFixture(polled);
        assertTrue(fixture.actions.timers.get(0) <= 2000, "at the start: " + fixture.actions.timers);
        fixture.balancer.onTimer(fixture.nowMs, 1);
        fixture.balancer.onTimer(fixture.nowMs, 1);
        assertEquals(1, fixture.actions.polls);
        fixture.list(BalancerFixture.endpoints(2));
        fixture.nowMs += 60_000;
        fixture.balancer.onEndpointList(fixture.nowMs, EndpointListKind.FAILED, List.of());
        assertTrue(fixture.actions.timers.get(1) <= MAX_DELAY_MS, "after a failure: " + fixture.actions.timers);
        fixture.balancer.onDiscoveryMoved(fixture.nowMs, 0);
        assertTrue(fixture.actions.timers.get(2) <= fixture.actions.timers.get(1), "a move: " + fixture.actions.timers);
        fixture.nowMs += fixture.actions.timers.get(2);
        fixture.balancer.onTimer(fixture.nowMs, 1);
        assertEquals(2, fixture.actions.polls);
    }

    private static BalancerSettings withPolling(BalancerSettings from) {
        return new BalancerSettings(
                from.balancerCount(),
                from.ownIndex(),
                from.ownZone(),
                from.tier(),
                true,
                from.weighted(),
                from.overQuotaWeight(),
                from.crossZonePrice(),
                from.classes(),
                from.tenants(),
                from.limits(),
                from.rules());
    }
}
