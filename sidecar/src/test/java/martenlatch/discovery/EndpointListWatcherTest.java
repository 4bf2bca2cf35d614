package martenlatch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.request.PollFailure;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the watcher of endpoint lists in single cases and in random sequences of events. */
class EndpointListWatcherTest {

    private static final int SEQUENCES = 2000;
    private static final int STEPS = 60;

    /** The time between two pieces of a slow response. */
    private static final int PIECE_INTERVAL_MS = 100;

    /** A clock that the test advances. */
    private static final class Clock implements Scheduler {
        private static final class Task implements Timer, Comparable<Task> {
            private final double dueAtMs;
            private Runnable action;

            Task(double dueAtMs, Runnable action) {
                this.dueAtMs = dueAtMs;
                this.action = action;
            }

            @Override
            public void cancel() {
                action = () -> {};
            }

            @Override
            public int compareTo(Task other) {
                return Double.compare(dueAtMs, other.dueAtMs);
            }
        }

        private final PriorityQueue<Task> tasks = new PriorityQueue<>();
        private double now;

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double ms, Runnable action) {
            Task task = new Task(now + ms, action);
            tasks.add(task);
            return task;
        }

        void advance(double ms) {
            double until = now + ms;
            while (!tasks.isEmpty() && tasks.peek().dueAtMs <= until) {
                Task next = tasks.poll();
                now = next.dueAtMs;
                next.action.run();
            }
            now = until;
        }
    }

    /** Records polls and their results, and checks that polls do not overlap and that results are reported once. */
    private static final class Recorder implements DiscoveryTransport, EndpointList.Listener {
        private final List<Poll> polls = new ArrayList<>();
        /** The polls that continue at previous addresses, by number. */
        private final Map<Long, Poll> superseded = new HashMap<>();

        private Poll outstanding;
        private boolean isFromPreviousAddress;
        private int lists;
        private int completed;
        private int failures;
        private int moves;
        private int aborts;

        @Override
        public void send(Poll poll) {
            assertTrue(outstanding == null, "a poll was sent while another one was outstanding");
            outstanding = poll;
            polls.add(poll);
        }

        @Override
        public void abort() {
            outstanding = null;
            aborts++;
        }

        @Override
        public void useNewConnection(Poll previous) {
            assertEquals(outstanding, previous);
            if (previous != null) {
                superseded.put(previous.number(), previous);
            }
            outstanding = null;
        }

        @Override
        public void endSuperseded(long poll) {
            assertTrue(superseded.remove(poll) != null, "an unknown poll was ended");
        }

        @Override
        public void onEndpointList(EndpointList list) {
            lists++;
            if (isFromPreviousAddress) {
                return;
            }
            boolean nextIsSent = outstanding != null;
            Poll answered = polls.get(polls.size() - (nextIsSent ? 2 : 1));
            assertEquals(
                    answered.timing().isWithoutWait(),
                    !nextIsSent,
                    "the next poll is sent before a list is reported only after a watch");
            assertTrue(superseded.isEmpty(), "polls at previous addresses have ended");
        }

        @Override
        public void onPollCompleted(double listAgeMs) {
            assertTrue(outstanding == null, "no poll is outstanding");
            completed++;
        }

        @Override
        public void onPollFailed(PollFailure failure) {
            assertTrue(outstanding == null, "the failed poll is not outstanding");
            failures++;
        }

        @Override
        public void onDiscoveryMoved() {
            assertTrue(outstanding == null, "no poll is outstanding at the new address");
            assertTrue(superseded.size() <= 2, "the number of polls at previous addresses is limited");
            moves++;
        }
    }

    private final Clock clock = new Clock();
    private final Recorder transport = new Recorder();
    private final EndpointListWatcher watcher = new EndpointListWatcher(
            clock,
            transport,
            new RateLimitedLogger(clock, new PrintStream(OutputStream.nullOutputStream())),
            () -> new PollTiming(20_000, 1000, PollTiming.FULL_LIST_TIMEOUT_MS, 1000, PollTiming.MAX_RESPONSE_MS));

    EndpointListWatcherTest() {
        watcher.setListener(transport, 7);
    }

    private static EndpointList list(long version) {
        return new EndpointList(version, true, List.of());
    }

    private void answer(long number, long version) {
        transport.isFromPreviousAddress = transport.superseded.containsKey(number);
        if (transport.outstanding != null && transport.outstanding.number() == number) {
            transport.outstanding = null;
        }
        watcher.onList(number, list(version));
    }

    /** Answers the first poll, number 1, and starts a watch, number 2. */
    private void startWatch() {
        watcher.start();
        answer(1, 7);
        watcher.start();
    }

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
        answer(4, 9);
        watcher.onResponseBytes(5, 1);
        clock.advance(1000);
        assertEquals(
                List.of(6, 1),
                List.of(transport.polls.size(), transport.failures),
                "a truncated response after a complete one is no failure");
    }

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

    private static BalancerSettings settings(boolean pollsEndpointList, double pollIntervalMs) {
        return new BalancerSettings(
                1,
                0,
                0,
                0,
                pollsEndpointList,
                false,
                1,
                0,
                List.of(new RequestClass(
                        "read", 100, 1000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
                List.of(),
                new AttemptLimits(3, false, true, 0, 100),
                new EndpointRules(1, 0, 1, 1000, 500, pollIntervalMs));
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
