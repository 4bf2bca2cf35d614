package martenlatch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the watcher of endpoint lists with responses that are slow, stall, never end or wait in a queue. */
class SlowResponseTest extends WatcherTestCase {

    /** The time between two pieces of a slow response. */
    private static final int PIECE_INTERVAL_MS = 100;

    /** Delivers bytes of the response to a poll, the first ones now, until {@code durationMs} have passed. */
    private void deliver(long number, int durationMs) {
        watcher.onResponseBytes(number, 1);
        for (int ms = 0; ms < durationMs; ms += PIECE_INTERVAL_MS) {
            clock.advance(PIECE_INTERVAL_MS);
            watcher.onResponseBytes(number, 1);
        }
    }

    /**
     * Guards against a response that is cut although its bytes keep arriving: each poll was cut 1 s after its first
     * bytes, so a discovery that takes longer for a response was never heard out (review/3). Also if the response
     * begins just before the end of the wait, whose timeout is then far shorter than the response.
     */
    @ParameterizedTest
    @ValueSource(ints = {500, 19_950, 20_750})
    void responseOfWhichBytesKeepArrivingIsNotCut(int beginsAfterMs) {
        startWatch();
        clock.advance(beginsAfterMs - PIECE_INTERVAL_MS / 2);
        deliver(2, PollTiming.MAX_RESPONSE_MS - PIECE_INTERVAL_MS);
        assertEquals(List.of(2, 0), List.of(transport.polls.size(), transport.failures));
        answer(2, 9);
        assertEquals("/registry/instances?index=9&wait=20000", transport.outstanding.path());
        assertEquals(List.of(2, 0), List.of(transport.lists, transport.aborts));
    }

    /** A response that stops after a slow part is detected as early as one that stops at its beginning. */
    @Test
    void responseThatStopsAfterASlowPartTimesOut() {
        startWatch();
        deliver(2, 3000);
        clock.advance(999);
        assertEquals(2, transport.polls.size());
        clock.advance(1);
        assertEquals(List.of(3, 0), List.of(transport.polls.size(), transport.failures));
    }

    /**
     * Guards against an endless response that holds the watch. Another poll is sent in time for the 6 s after which a
     * change counts as notified, while the slow one may still end. Later ones wait longer, to spare discovery work.
     */
    @Test
    void endlessResponseDelaysTheNextPollForABoundedTime() {
        startWatch();
        List<Double> pollTimesMs = new ArrayList<>();
        while (clock.now() < 61_000) {
            if (transport.outstanding == null) {
                watcher.start();
            }
            if (transport.polls.size() > pollTimesMs.size() + 2) {
                pollTimesMs.add(clock.now());
            }
            List.copyOf(transport.superseded.keySet()).forEach(number -> watcher.onResponseBytes(number, 1));
            watcher.onResponseBytes(transport.outstanding.number(), 1);
            clock.advance(PIECE_INTERVAL_MS);
            assertTrue(transport.superseded.size() <= 1, "one poll continues beside the current one");
        }
        assertEquals(List.of(4000.0, 12_000.0, 28_000.0, 60_000.0), pollTimesMs, "4 s, then twice as long each time");
        answer(transport.outstanding.number(), 9);
        assertEquals(Map.of(), transport.superseded, "the slow polls end with the first list");
    }

    /** The list of a slow response is applied although a later poll is outstanding, and the watch goes on after it. */
    @Test
    void slowResponseIsAppliedBesideALaterPoll() {
        startWatch();
        deliver(2, PollTiming.MAX_RESPONSE_MS + 1000);
        assertEquals(3, transport.outstanding.number());
        assertEquals("/registry/instances?index=7&wait=20000", transport.outstanding.path());
        answer(2, 9);
        assertEquals(List.of(2, 3, 0), List.of(transport.lists, transport.polls.size(), transport.failures));
        answer(3, 10);
        assertEquals(3, transport.lists);
        assertEquals("/registry/instances?index=10&wait=20000", transport.outstanding.path());
    }

    /** Guards against a drain that is undone: a list that was composed before the one that has arrived is ignored. */
    @Test
    void outdatedListOfAnOverlappingPollIsIgnored() {
        startWatch();
        deliver(2, PollTiming.MAX_RESPONSE_MS);
        answer(2, 9);
        answer(3, 8);
        assertEquals(2, transport.lists);
        assertEquals("/registry/instances?index=9&wait=20000", transport.outstanding.path());
        answer(4, 3);
        assertEquals(3, transport.lists, "a lower version is applied if no other list has arrived during the poll");
    }

    /** A stalled response may go on: its poll continues in the background, and its list is applied without a gap. */
    @Test
    void listOfAStalledResponseIsAppliedAfterAFailure() {
        startWatch();
        deliver(2, 0);
        clock.advance(1000);
        watcher.onFailure(3, "status 503");
        assertEquals(List.of(3, 1), List.of(transport.polls.size(), transport.failures));
        clock.advance(2000);
        answer(2, 9);
        assertEquals(2, transport.lists);
        assertEquals("/registry/instances?index=9&wait=20000", transport.outstanding.path());
    }

    /**
     * Guards against a poll that is ended while it waits in the queue of an overloaded discovery, and queues again: a
     * discovery whose calls wait for more than 3 s was never heard out (review/stand/StartAtSlowDiscovery).
     */
    @ParameterizedTest
    @ValueSource(ints = {3200, 8000, 30_000})
    void pollWaitingInTheQueueOfDiscoveryIsHeardOut(int answeredAfterMs) {
        watcher.start();
        clock.advance(PollTiming.FULL_LIST_TIMEOUT_MS + 1);
        assertEquals(List.of(0, 2), List.of(transport.failures, transport.polls.size()));
        clock.advance(answeredAfterMs - clock.now());
        answer(1, 9);
        assertEquals(List.of(1, 0), List.of(transport.lists, transport.completed));
        answer(transport.outstanding.number(), 9);
        assertEquals(List.of(2, 1), List.of(transport.lists, transport.completed));
    }

    /** A poll that waits in the queue gives way to one whose response has begun. */
    @Test
    void silentPollInTheBackgroundGivesWayToASlowResponse() {
        watcher.start();
        clock.advance(PollTiming.FULL_LIST_TIMEOUT_MS + 1);
        deliver(2, PollTiming.MAX_RESPONSE_MS);
        assertEquals(Set.of(2L), transport.superseded.keySet());
    }

    /** Guards against a connection that is kept for ever because its response has stopped. */
    @Test
    void pollInTheBackgroundEndsWhenItsResponseStops() {
        startWatch();
        deliver(2, 0);
        clock.advance(1000);
        assertEquals(Set.of(2L), transport.superseded.keySet());
        clock.advance(6000);
        assertEquals(Map.of(), transport.superseded);
        assertEquals(List.of(3, 0), List.of(transport.polls.size(), transport.failures));
    }

    /** A response that is arriving when discovery moves is heard out; its version is not used at the new address. */
    @Test
    void slowResponseContinuesAfterMove() {
        startWatch();
        deliver(2, 1000);
        watcher.onMoved();
        deliver(2, PollTiming.MAX_RESPONSE_MS);
        assertEquals(Set.of(2L), transport.superseded.keySet());
        answer(2, 9);
        assertEquals(2, transport.lists);
        watcher.start();
        assertEquals("/registry/instances", transport.outstanding.path());
    }
}
