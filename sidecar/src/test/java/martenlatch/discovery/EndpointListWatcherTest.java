package martenlatch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the watcher of endpoint lists in single cases and in random sequences of events. */
class EndpointListWatcherTest extends WatcherTestCase {

    private static final int SEQUENCES = 2000;
    private static final int STEPS = 60;

    /**
     * Guards against a watch that is started before the list is known to be current. Until discovery has sent a list,
     * polls are sent without a wait; the listener then starts the watch.
     */
    @Test
    void pollsAreSentWithoutWaitUntilDiscoveryHasSentAList() {
        watcher.start();
        assertEquals("/registry/instances?index=7&wait=1", transport.outstanding.path());
        clock.advance(2900);
        watcher.onFailure(1, "rejected late");
        watcher.start();
        assertEquals("/registry/instances?index=7&wait=1", transport.outstanding.path());
        answer(2, 7);
        assertEquals(List.of(1, 1, 2), List.of(transport.lists, transport.completed, transport.polls.size()));
        watcher.start();
        assertEquals("/registry/instances?index=7&wait=20000", transport.outstanding.path());
        answer(3, 8);
        assertEquals(List.of(2, 1, 4), List.of(transport.lists, transport.completed, transport.polls.size()));
    }

    /** At most one poll is outstanding, each is reported once, and none is sent after a failure without a start. */
    @Test
    void randomEventsNeverOverlapPollsOrReportResultsTwice() {
        for (int seed = 0; seed < SEQUENCES; seed++) {
            EndpointListWatcherTest test = new EndpointListWatcherTest();
            Random random = new Random(seed);
            // Whether a start was deferred until a poll at a previous address ends.
            boolean isStartDeferred = false;
            for (int i = 0; i < STEPS; i++) {
                int polls = test.transport.polls.size();
                long anyPoll = polls == 0
                        ? 0
                        : test.transport.polls.get(random.nextInt(polls)).number();
                long target = test.transport.outstanding == null || random.nextBoolean()
                        ? anyPoll
                        : test.transport.outstanding.number();
                Poll current = test.transport.outstanding;
                boolean isCurrent = current != null && current.number() == target;
                boolean isOutstanding = isCurrent || test.transport.superseded.containsKey(target);
                int lists = test.transport.lists;
                int failures = test.transport.failures;
                int step = random.nextInt(6);
                switch (step) {
                    case 0 -> {
                        test.watcher.start();
                        isStartDeferred = test.transport.outstanding == null;
                    }
                    case 1 -> test.answer(target, i);
                    case 2 -> test.watcher.onFailure(target, "said so");
                    case 5 -> test.watcher.onResponseBytes(target, 1);
                    case 3 -> test.clock.advance(random.nextInt(3) * 12_000);
                    default -> test.watcher.onMoved();
                }
                assertTrue(
                        test.transport.lists <= lists + (isOutstanding ? 1 : 0),
                        "a list of a finished poll was reported");
                assertTrue(test.transport.failures <= failures + 1);
                int sent = test.transport.polls.size() - polls;
                if (step == 2 || step == 4) {
                    assertTrue(sent == 0 || (isStartDeferred && sent == 1), "a poll was sent without a start");
                }
                isStartDeferred &= sent == 0;
            }
        }
    }

    /**
     * Guards against a silent watch that is restarted too late. Changes that it misses count as notified 2 s after its
     * wait, so it is restarted 1 s after the wait, without a delay and any number of times.
     */
    @Test
    void silentWatchIsRestartedBeforeMissedChangesCountAsNotified() {
        startWatch();
        for (int silences = 1; silences < 5; silences++) {
            assertEquals("/registry/instances?index=7&wait=20000", transport.outstanding.path());
            clock.advance(20_000 + 999);
            assertEquals(1 + silences, transport.polls.size());
            clock.advance(1);
            assertEquals(
                    List.of(1 + silences + 1, silences, 0),
                    List.of(transport.polls.size(), transport.aborts, transport.failures));
        }
        answer(2, 9);
        watcher.onFailure(2, "late");
        watcher.onResponseBytes(2, 1);
        assertEquals(List.of(1, 0, 6), List.of(transport.lists, transport.failures, transport.polls.size()));
    }

    /** A poll for the whole list that times out is reported to the listener, which decides when to poll again. */
    @Test
    void timeoutOfPollForWholeListIsReportedAsFailure() {
        watcher.onMoved();
        watcher.start();
        clock.advance(PollTiming.FULL_LIST_TIMEOUT_MS - 1);
        assertEquals(0, transport.failures);
        clock.advance(1);
        assertEquals(List.of(1, 1), List.of(transport.failures, transport.polls.size()));
    }

    /**
     * Guards against a truncated response that is waited for as long as a watch. After the first bytes of a response
     * further ones have to arrive within 1 s, or by the timeout of the watch if that is earlier.
     */
    @Test
    void truncatedResponseTimesOutEarly() {
        startWatch();
        clock.advance(500);
        watcher.onResponseBytes(2, 1);
        clock.advance(999);
        assertEquals(2, transport.polls.size());
        clock.advance(1);
        assertEquals(List.of(3, 0), List.of(transport.polls.size(), transport.failures));
        clock.advance(20_000 + 500);
        watcher.onResponseBytes(3, 1);
        clock.advance(499);
        assertEquals(0, transport.failures);
        clock.advance(1);
        assertEquals(
                List.of(3, 1),
                List.of(transport.polls.size(), transport.failures),
                "a second truncated response in a row is a failure");
        watcher.start();
        answer(transport.outstanding.number(), 9);
        watcher.onResponseBytes(transport.outstanding.number(), 1);
        clock.advance(1000);
        assertEquals(
                List.of(6, 1),
                List.of(transport.polls.size(), transport.failures),
                "a truncated response after a complete one is no failure");
    }

    /** Guards against watches of a fleet that ended together and are restarted together. */
    @Test
    void waitIsRandomBetweenOneAndTwoPollIntervalsWithinBounds() {
        SplittableRandom random = new SplittableRandom(1);
        double minWaitMs = Double.MAX_VALUE;
        double maxWaitMs = 0;
        for (int i = 0; i < 1000; i++) {
            double wait = PollTiming.next(settings(true, 6000), random).waitMs();
            minWaitMs = Math.min(minWaitMs, wait);
            maxWaitMs = Math.max(maxWaitMs, wait);
        }
        assertTrue(
                minWaitMs >= 6000 && minWaitMs < 6100 && maxWaitMs > 11_900 && maxWaitMs <= 12_000,
                minWaitMs + " " + maxWaitMs);
        assertEquals(
                PollTiming.MAX_WAIT_MS,
                PollTiming.next(settings(true, 60_000), random).waitMs());
        assertEquals(
                PollTiming.MIN_WAIT_MS,
                PollTiming.next(settings(true, 100), random).waitMs());
        PollTiming agent = PollTiming.next(settings(false, 60_000), random);
        assertTrue(
                agent.waitMs() + agent.responseTimeoutMs() <= 500, "well within the grace period of a drain: " + agent);
    }

    /** The listener alone decides when a new address is polled, even after several moves. */
    @Test
    void movingDoesNotSendAPoll() {
        watcher.start();
        watcher.onMoved();
        watcher.onMoved();
        clock.advance(60_000);
        assertEquals(List.of(1, 2, 0), List.of(transport.polls.size(), transport.moves, transport.failures));
        assertEquals(Map.of(), transport.superseded, "polls at previous addresses have timed out");
        watcher.start();
        assertEquals(OptionalLong.empty(), transport.outstanding.knownVersion());
        clock.advance(PollTiming.FULL_LIST_TIMEOUT_MS);
        assertEquals(List.of(2, 1), List.of(transport.polls.size(), transport.failures));
    }

    /** A list that arrives from a previous address is applied, but its version is not used at the new address. */
    @Test
    void pollContinuesAfterMoveUntilALaterAddressHasResponded() {
        startWatch();
        watcher.onMoved();
        answer(2, 8);
        assertEquals(
                List.of(2, 2),
                List.of(transport.lists, transport.polls.size()),
                "the list is applied and no poll is sent");
        assertEquals(Map.of(), transport.superseded);
        watcher.start();
        assertEquals("/registry/instances", transport.outstanding.path());
        watcher.onMoved();
        watcher.start();
        assertEquals(
                Set.of(3L),
                transport.superseded.keySet(),
                "the start is deferred until the poll for the whole list ends");
        assertEquals(3, transport.polls.size());
        answer(3, 9);
        assertEquals(List.of(3, 3, 3), List.of(transport.lists, transport.polls.size(), transport.completed));
        watcher.start();
        assertEquals("/registry/instances", transport.outstanding.path());
        answer(3, 5);
        assertEquals(3, transport.lists, "a list of a finished poll is ignored");
    }

    /** A start that was deferred until a poll at a previous address ends takes effect when that poll fails. */
    @Test
    void failureAtPreviousAddressTriggersDeferredStart() {
        watcher.start();
        watcher.onMoved();
        watcher.start();
        assertEquals(1, transport.polls.size());
        watcher.onFailure(1, "the connection ended");
        assertEquals(List.of(2, 0), List.of(transport.polls.size(), transport.failures));
        assertEquals("/registry/instances", transport.outstanding.path());
    }

    /** The listener is not notified of failures at previous addresses, as the poll at the current one goes on. */
    @Test
    void failureAtPreviousAddressIsNotReported() {
        startWatch();
        watcher.onMoved();
        watcher.start();
        watcher.onFailure(2, "status 503");
        assertEquals(List.of(0, 3), List.of(transport.failures, transport.polls.size()));
        assertEquals(3, transport.outstanding.number());
        answer(3, 1);
        assertEquals(OptionalLong.of(1), transport.outstanding.knownVersion(), "the new address is watched");
    }
}
