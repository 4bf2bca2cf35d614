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

/** The watch on discovery, over random sequences of what may come of its polls. */
class EndpointListWatcherTest {

    private static final int SEQUENCES = 2000;
    private static final int STEPS = 60;

    /** A clock that the test moves. */
    private static final class Clock implements Scheduler {
        private static final class Task implements Timer, Comparable<Task> {
            private final double at;
            private Runnable work;

            Task(double at, Runnable work) {
                this.at = at;
                this.work = work;
            }

            @Override
            public void cancel() {
                work = () -> {};
            }

            @Override
            public int compareTo(Task other) {
                return Double.compare(at, other.at);
            }
        }

        private final PriorityQueue<Task> tasks = new PriorityQueue<>();
        private double now;

        @Override
        public double now() {
            return now;
        }

        @Override
        public Timer after(double ms, Runnable work) {
            Task task = new Task(now + ms, work);
            tasks.add(task);
            return task;
        }

        void pass(double ms) {
            double until = now + ms;
            while (!tasks.isEmpty() && tasks.peek().at <= until) {
                Task next = tasks.poll();
                now = next.at;
                next.work.run();
            }
            now = until;
        }
    }

    /** What goes out and comes back, and that each thing happens once. */
    private static final class Recorder implements DiscoveryTransport, EndpointList.Listener {
        private final List<Poll> polls = new ArrayList<>();
        /** Polls that go on at addresses before, by number. */
        private final Map<Long, Poll> superseded = new HashMap<>();

        private Poll outstanding;
        private boolean isFromAddressBefore;
        private int lists;
        private int completed;
        private int failures;
        private int moves;
        private int aborts;

        @Override
        public void send(Poll poll) {
            assertTrue(outstanding == null, "two polls at once");
            outstanding = poll;
            polls.add(poll);
        }

        @Override
        public void abort() {
            outstanding = null;
            aborts++;
        }

        @Override
        public void switchAddress(Poll left) {
            assertEquals(outstanding, left);
            if (left != null) {
                superseded.put(left.number(), left);
            }
            outstanding = null;
        }

        @Override
        public void endSuperseded(long poll) {
            assertTrue(superseded.remove(poll) != null, "it was under way");
        }

        @Override
        public void onEndpointList(EndpointList list) {
            lists++;
            if (isFromAddressBefore) {
                return;
            }
            boolean nextIsSent = outstanding != null;
            Poll answered = polls.get(polls.size() - (nextIsSent ? 2 : 1));
            assertEquals(answered.timing().isWithoutWait(), !nextIsSent, "a watch goes on before its list is heard");
            assertTrue(superseded.isEmpty(), "what came before is over");
        }

        @Override
        public void onPollCompleted() {
            assertTrue(outstanding == null, "no watch is open");
            completed++;
        }

        @Override
        public void onPollFailed(PollFailure failure) {
            assertTrue(outstanding == null, "a call that has failed is over");
            failures++;
        }

        @Override
        public void onDiscoveryMoved() {
            assertTrue(outstanding == null, "none is under way at the new address");
            assertTrue(superseded.size() <= 2, "polls at addresses before are bounded");
            moves++;
        }
    }

    private final Clock clock = new Clock();
    private final Recorder transport = new Recorder();
    private final EndpointListWatcher watcher = new EndpointListWatcher(
            clock,
            transport,
            new RateLimitedLogger(clock, new PrintStream(OutputStream.nullOutputStream())),
            () -> new PollTiming(20_000, 1000, PollTiming.FULL_LIST_TIMEOUT_MS));

    EndpointListWatcherTest() {
        watcher.setListener(transport, 7);
    }

    private static EndpointList list(long version) {
        return new EndpointList(version, true, List.of());
    }

    private void answer(long number, long version) {
        transport.isFromAddressBefore = transport.superseded.containsKey(number);
        if (transport.outstanding != null && transport.outstanding.number() == number) {
            transport.outstanding = null;
        }
        watcher.onList(number, list(version));
    }

    /** The first poll of the process, number 1, is answered, and the listener starts a watch, number 2. */
    private void startWatch() {
        watcher.start();
        answer(1, 7);
        watcher.start();
    }

    /**
     * Until discovery has answered, the list may be of any age: the first polls ask for the state of now, and silence
     * is no answer. The listener says when the watch is started.
     */
    @Test
    void untilDiscoveryHasAnsweredPollsAskForTheStateOfNow() {
        watcher.start();
        assertEquals("/registry/instances?index=7&wait=1", transport.outstanding.path());
        clock.pass(2900);
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

    /** At most one call is out, each ends once, and after a failure none goes out unasked. */
    @Test
    void whateverComesOneCallIsOutAtATime() {
        for (int seed = 0; seed < SEQUENCES; seed++) {
            EndpointListWatcherTest one = new EndpointListWatcherTest();
            Random random = new Random(seed);
            // A start that waits for the end of a poll at an address before.
            boolean isOwed = false;
            for (int i = 0; i < STEPS; i++) {
                int polls = one.transport.polls.size();
                long some = polls == 0
                        ? 0
                        : one.transport.polls.get(random.nextInt(polls)).number();
                long latest = one.transport.outstanding == null || random.nextBoolean()
                        ? some
                        : one.transport.outstanding.number();
                Poll present = one.transport.outstanding;
                boolean isPresent = present != null && present.number() == latest;
                boolean out = isPresent || one.transport.superseded.containsKey(latest);
                int lists = one.transport.lists;
                int failures = one.transport.failures;
                int step = random.nextInt(6);
                switch (step) {
                    case 0 -> {
                        one.watcher.start();
                        isOwed = one.transport.outstanding == null;
                    }
                    case 1 -> one.answer(latest, i);
                    case 2 -> one.watcher.onFailure(latest, "said so");
                    case 5 -> one.watcher.onResponseStarted(latest);
                    case 3 -> one.clock.pass(random.nextInt(3) * 12_000);
                    default -> one.watcher.onMoved();
                }
                assertTrue(one.transport.lists <= lists + (out ? 1 : 0), "a call that was over was heard");
                assertTrue(one.transport.failures <= failures + 1);
                int sent = one.transport.polls.size() - polls;
                if (step == 2 || step == 4) {
                    assertTrue(sent == 0 || (isOwed && sent == 1), "a call that nobody asked for");
                }
                isOwed &= sent == 0;
            }
        }
    }

    /**
     * What a silent watch misses counts as told 2 s after its wait: well before that it is opened anew, as
     * often as it takes, with no pause that the module would make.
     */
    @Test
    void aSilentWatchIsOpenedAnewBeforeWhatItMissesCountsAsTold() {
        startWatch();
        for (int silences = 1; silences < 5; silences++) {
            assertEquals("/registry/instances?index=7&wait=20000", transport.outstanding.path());
            clock.pass(20_000 + 999);
            assertEquals(1 + silences, transport.polls.size());
            clock.pass(1);
            assertEquals(
                    List.of(1 + silences + 1, silences, 0),
                    List.of(transport.polls.size(), transport.aborts, transport.failures));
        }
        answer(2, 9);
        watcher.onFailure(2, "late");
        watcher.onResponseStarted(2);
        assertEquals(List.of(1, 0, 6), List.of(transport.lists, transport.failures, transport.polls.size()));
    }

    /** The whole list is not waited for with an old one in hand: whoever listens says when to go on. */
    @Test
    void silenceOnTheWholeListIsAFailure() {
        watcher.onMoved();
        watcher.start();
        clock.pass(PollTiming.FULL_LIST_TIMEOUT_MS - 1);
        assertEquals(0, transport.failures);
        clock.pass(1);
        assertEquals(List.of(1, 1), List.of(transport.failures, transport.polls.size()));
    }

    /** From its first byte on an answer has a second; one that comes late has what is left. */
    @Test
    void anAnswerThatBreaksOffIsNotWaitedFor() {
        startWatch();
        clock.pass(500);
        watcher.onResponseStarted(2);
        clock.pass(600);
        watcher.onResponseStarted(2);
        clock.pass(399);
        assertEquals(2, transport.polls.size());
        clock.pass(1);
        assertEquals(List.of(3, 0), List.of(transport.polls.size(), transport.failures));
        clock.pass(20_000 + 500);
        watcher.onResponseStarted(3);
        clock.pass(499);
        assertEquals(0, transport.failures);
        clock.pass(1);
        assertEquals(List.of(3, 1), List.of(transport.polls.size(), transport.failures), "not again and again");
        watcher.start();
        answer(4, 9);
        watcher.onResponseStarted(5);
        clock.pass(1000);
        assertEquals(List.of(6, 1), List.of(transport.polls.size(), transport.failures), "that was long ago");
    }

    /** Watches of a fleet that fell silent together, or end together, do not come back together. */
    @Test
    void waitsAreSpreadByWhatTheSiteGivesForAsking() {
        SplittableRandom random = new SplittableRandom(1);
        double least = Double.MAX_VALUE;
        double most = 0;
        for (int i = 0; i < 1000; i++) {
            double wait = PollTiming.next(settings(true, 6000), random).waitMs();
            least = Math.min(least, wait);
            most = Math.max(most, wait);
        }
        assertTrue(least >= 6000 && least < 6100 && most > 11_900 && most <= 12_000, least + " " + most);
        assertEquals(
                PollTiming.MAX_WAIT_MS,
                PollTiming.next(settings(true, 60_000), random).waitMs());
        assertEquals(
                PollTiming.MIN_WAIT_MS,
                PollTiming.next(settings(true, 100), random).waitMs());
        PollTiming agent = PollTiming.next(settings(false, 60_000), random);
        assertTrue(agent.waitMs() + agent.responseTimeoutMs() <= 500, "within any drain's grace: " + agent);
    }

    private static BalancerSettings settings(boolean asks, double askWithinMs) {
        return new BalancerSettings(
                1,
                0,
                0,
                0,
                asks,
                false,
                1,
                0,
                List.of(new RequestClass(
                        "read", 100, 1000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
                List.of(),
                new AttemptLimits(3, false, true, 0, 100),
                new EndpointRules(1, 0, 1, 1000, 500, askWithinMs));
    }

    /** When a new address is polled is the listener's decision alone, also after several moves. */
    @Test
    void aMoveLeavesTheNextPollToTheListener() {
        watcher.start();
        watcher.onMoved();
        watcher.onMoved();
        clock.pass(60_000);
        assertEquals(List.of(1, 2, 0), List.of(transport.polls.size(), transport.moves, transport.failures));
        assertEquals(Map.of(), transport.superseded, "what was under way has timed out");
        watcher.start();
        assertEquals(OptionalLong.empty(), transport.outstanding.knownVersion());
        clock.pass(PollTiming.FULL_LIST_TIMEOUT_MS);
        assertEquals(List.of(2, 1), List.of(transport.polls.size(), transport.failures));
    }

    /** A list that was under way when discovery moved is applied, and its version is not used at the new address. */
    @Test
    void aPollGoesOnOverAMoveUntilALaterAddressHasAnswered() {
        startWatch();
        watcher.onMoved();
        answer(2, 8);
        assertEquals(List.of(2, 2), List.of(transport.lists, transport.polls.size()), "applied, and no poll goes out");
        assertEquals(Map.of(), transport.superseded);
        watcher.start();
        assertEquals("/registry/instances", transport.outstanding.path());
        watcher.onMoved();
        watcher.start();
        assertEquals(Set.of(3L), transport.superseded.keySet(), "it is about to end, and is waited for");
        assertEquals(3, transport.polls.size());
        answer(3, 9);
        assertEquals(List.of(3, 3, 3), List.of(transport.lists, transport.polls.size(), transport.completed));
        watcher.start();
        assertEquals("/registry/instances", transport.outstanding.path());
        answer(3, 5);
        assertEquals(3, transport.lists, "it is over, and changes nothing");
    }

    /** A poll that is waited for at an address before fails: the one at the present address was due, and is sent. */
    @Test
    void aPollThatFailsAtAnAddressBeforeIsFollowedAtOnce() {
        watcher.start();
        watcher.onMoved();
        watcher.start();
        assertEquals(1, transport.polls.size());
        watcher.onFailure(1, "the connection ended");
        assertEquals(List.of(2, 0), List.of(transport.polls.size(), transport.failures));
        assertEquals("/registry/instances", transport.outstanding.path());
    }

    /** Polls that go on at addresses before fail without a word to the listener: the next one is due in any case. */
    @Test
    void aPollThatFailsAtAnAddressBeforeIsNoFailureOfThePresentOne() {
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
