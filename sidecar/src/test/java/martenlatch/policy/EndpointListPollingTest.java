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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** When discovery is polled, over whatever sequence of events. */
class EndpointListPollingTest {

    private static final int SEEDS = 500;
    /** A change counts as notified so long after discovery had it and could be reached. */
    private static final double MAX_LIST_AGE_MS = 6000;
    /** In which discovery answers or rejects a poll. */
    private static final double POLL_DURATION_MS = 2000;
    /** The longest delay there is: with a poll of 2 s before or after it, it is within the 6 s. */
    private static final double MAX_DELAY_MS = 3000;

    private static BalancerSettings settings(int balancers, double pollIntervalMs) {
        return BalancerFixture.settings(balancers, 0, 1, true, pollIntervalMs);
    }

    private static double longest(List<Double> delays) {
        return Collections.max(delays);
    }

    /** A process that starts has a list of any age: half a poll interval, as before, was 5 s (incident 7111). */
    @Test
    void aNewProcessPollsSoon() {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            delays.add(polling.delayAtStart(settings(100, 10_000)));
            assertTrue(polling.takeDuePoll(0));
        }
        assertTrue(longest(delays) > 1900 && longest(delays) <= 2000, "a fleet is spread: " + longest(delays));
        EndpointListPolling alone = new EndpointListPolling(new SplittableRandom(1));
        assertEquals(0, alone.delayAtStart(settings(1, 10_000)));
    }

    /** The longest delay is what the failed poll and the next one leave of the 6 s, within the settings' intervals. */
    @ParameterizedTest
    @CsvSource({
        "10000, 0, 3000",
        "10000, 1500, 2500",
        "10000, 2000, 2000",
        "10000, 3000, 1000",
        "10000, 3900, 1000",
        "10000, 15000, 3000",
        "60000, 2000, 2000",
        "1000, 0, 3000",
        "500, 0, 1500",
        "500, 2500, 1500"
    })
    void theDelayAfterAFailureIsWhatThePollsLeaveOfTheBudget(
            double pollIntervalMs, double failedAfterMs, double maxDelayMs) {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            BalancerSettings settings = settings(100, pollIntervalMs);
            double now = polling.delayAtStart(settings);
            for (int failure = 0; failure < 4; failure++) {
                assertTrue(polling.takeDuePoll(now));
                now += failedAfterMs;
                double delayMs = polling.delayAfterFailure(now, settings);
                delays.add(delayMs);
                now += delayMs;
            }
        }
        assertTrue(longest(delays) > 0.9 * maxDelayMs && longest(delays) <= maxDelayMs, "" + longest(delays));
    }

    /**
     * The aim: a change is known 6 s after discovery could be reached, the time of the polls themselves included. Here
     * discovery fails every poll until some moment, each after the same time, and answers within the time of a poll
     * from then on. With delays of up to 3 s, whatever the failed poll had taken, it could be 7 s.
     */
    @ParameterizedTest
    @CsvSource({"0, 100", "12, 100", "1000, 100", "2000, 100", "2000, 2", "3000, 100"})
    void whenDiscoveryIsBackAChangeIsKnownInTimeAfterAnyFailures(double failsAfterMs, int balancers) {
        BalancerSettings settings = settings(balancers, 10_000);
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            double backAtMs = 20_000 * random.nextDouble();
            EndpointListPolling polling = new EndpointListPolling(random.split());
            double now = polling.delayAtStart(settings);
            assertTrue(polling.takeDuePoll(now));
            while (now < backAtMs) {
                now += failsAfterMs;
                now += polling.delayAfterFailure(now, settings);
                assertTrue(polling.takeDuePoll(now));
            }
            double knownAfterMs = now + POLL_DURATION_MS - backAtMs;
            assertTrue(knownAfterMs <= MAX_LIST_AGE_MS, "known after " + knownAfterMs + " ms, seed " + seed);
        }
    }

    /** A watch may have been silent for long when it ended: the poll after it comes soon, and within the interval. */
    @ParameterizedTest
    @CsvSource({"1000, 500", "4000, 2000", "10000, 3000"})
    void aWatchThatEndedIsStartedSoon(double pollIntervalMs, double maxDelayMs) {
        List<Double> delays = new ArrayList<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            polling.onList();
            delays.add(polling.delayAfterFailure(15_000, settings(100, pollIntervalMs)));
        }
        assertTrue(longest(delays) > 0.9 * maxDelayMs && longest(delays) <= maxDelayMs, "" + longest(delays));
    }

    /** Whatever happens, in whatever order: without a watch the next poll is due in time, and stays so. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100, 1000})
    void theNextPollIsDueInTimeOverAnySequence(int balancers) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            EndpointListPolling polling = new EndpointListPolling(random.split());
            BalancerSettings settings = settings(balancers, 10_000);
            TreeSet<Double> timers = new TreeSet<>();
            timers.add(polling.delayAtStart(settings));
            double unwatchedSinceMs = 0;
            double polledAtMs = Double.NaN;
            for (double now = 0; now < 60_000; now += 1 + random.nextInt(400)) {
                while (!timers.isEmpty() && timers.first() <= now) {
                    double at = timers.pollFirst();
                    if (polling.takeDuePoll(at)) {
                        polledAtMs = at;
                    }
                }
                boolean isPolling = !Double.isNaN(polledAtMs);
                if (!isPolling) {
                    double dueMs = unwatchedSinceMs + MAX_DELAY_MS;
                    assertTrue(now <= dueMs + 1, "no poll at " + now + ", due at " + dueMs + ", seed " + seed);
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
                            unwatchedSinceMs = now;
                            polledAtMs = Double.NaN;
                            timers.add(now + polling.delayAfterFailure(now, settings));
                        }
                    }
                    case 2, 3 -> {
                        if (isPolling) {
                            unwatchedSinceMs = now;
                        }
                        polledAtMs = Double.NaN;
                        timers.add(now + polling.delayAfterMove(now, settings));
                    }
                    default -> {
                        // Time passes.
                    }
                }
            }
        }
    }

    /** Moves in a row do not put a poll off; before, each began a delay of its own. */
    @Test
    void movesInARowDoNotPutThePollOff() {
        for (int seed = 0; seed < SEEDS; seed++) {
            EndpointListPolling polling = new EndpointListPolling(new SplittableRandom(seed));
            BalancerSettings settings = settings(100, 10_000);
            polling.onList();
            double due = 1000 + polling.delayAfterMove(1000, settings);
            for (double now = 1000; now < due; now += 100) {
                due = Math.min(due, now + polling.delayAfterMove(now, settings));
            }
            assertTrue(due <= 4000, "polled " + (due - 1000) + " ms after the first move, seed " + seed);
            assertTrue(polling.takeDuePoll(due));
            assertFalse(polling.takeDuePoll(due + 10), "one poll, however many timers there were");
        }
    }

    /** The balancer polls by these delays, and once, whatever timers are due. */
    @Test
    void theBalancerSchedulesItsPollsByThem() {
        BalancerSettings polled = asPolled(settings(100, 10_000));
        BalancerFixture fixture = new BalancerFixture(polled);
        assertTrue(fixture.host.timers.get(0) <= 2000, "at the start: " + fixture.host.timers);
        fixture.balancer.onTimer(fixture.now, 1);
        fixture.balancer.onTimer(fixture.now, 1);
        assertEquals(1, fixture.host.subscriptions);
        fixture.list(BalancerFixture.endpoints(2));
        fixture.now += 60_000;
        fixture.balancer.onEndpointList(fixture.now, EndpointListKind.FAILED, List.of());
        assertTrue(fixture.host.timers.get(1) <= MAX_DELAY_MS, "after a failure: " + fixture.host.timers);
        fixture.balancer.onDiscoveryMoved(fixture.now);
        assertTrue(fixture.host.timers.get(2) <= fixture.host.timers.get(1), "a move: " + fixture.host.timers);
        fixture.now += fixture.host.timers.get(2);
        fixture.balancer.onTimer(fixture.now, 1);
        assertEquals(2, fixture.host.subscriptions);
    }

    private static BalancerSettings asPolled(BalancerSettings from) {
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
