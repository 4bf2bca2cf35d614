package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import martenlatch.policy.EndpointListAge.Doubt;
import martenlatch.policy.api.BalancerSettings;
import org.junit.jupiter.api.Test;

/** Tests when requests may be forwarded by an endpoint list, over all sequences of events up to a depth. */
class EndpointListAgeTest {

    private static final int DEPTH = 6;
    private static final double STEP_MS = 150;
    /** Longer than any time for which forwarding goes on in doubt. */
    private static final double LONG_STEP_MS = 10_000;

    private static final double START_MS = 1_000_000;
    /** The grace of a drain in the settings of the fixture. */
    private static final double DRAIN_GRACE_MS = 1000;

    /** The changes of an agent count as notified this long after SIGHUP. */
    private static final double NOTIFIED_AFTER_MOVE_MS = 4000;

    private enum Event {
        RESPONSE_STARTED,
        CONFIRMED,
        CONFIRMED_BY_PREVIOUS_DISCOVERY,
        BROKEN,
        MOVED,
        TIME
    }

    /** A change that the agent may have got at this time, and the time from which on nothing may be forwarded. */
    private record PossibleChange(double atMs, double notAfterMs) {}

    /** What must hold, from the events alone: every change that the agent may have got since is told or not yet due. */
    private static final class Expectation {
        private final List<PossibleChange> changes = new ArrayList<>();
        private double responseStartedAtMs = Double.NaN;
        /** From this time on the changes of an agent that has not answered since the move to it count as notified. */
        private double movedDueMs = Double.NEGATIVE_INFINITY;

        Expectation() {
            changes.add(new PossibleChange(Double.NEGATIVE_INFINITY, Double.NEGATIVE_INFINITY));
        }

        void add(double atMs) {
            changes.add(new PossibleChange(atMs, Math.max(atMs, movedDueMs) + DRAIN_GRACE_MS));
        }

        void move(double atMs) {
            movedDueMs = atMs + NOTIFIED_AFTER_MOVE_MS;
            add(atMs);
        }

        void confirm(double responseStartedMs) {
            changes.removeIf(change -> change.atMs <= responseStartedMs);
            movedDueMs = Double.NEGATIVE_INFINITY;
        }

        boolean mayForward(double nowMs) {
            return changes.stream().allMatch(change -> nowMs < change.notAfterMs);
        }
    }

    private static BalancerSettings settings(boolean polled) {
        BalancerSettings pushed = BalancerFixture.settings(1, 0, 0, false);
        return new BalancerSettings(
                pushed.balancerCount(),
                pushed.ownIndex(),
                pushed.ownZone(),
                pushed.tier(),
                polled,
                pushed.weighted(),
                pushed.overQuotaWeight(),
                pushed.crossZonePrice(),
                pushed.classes(),
                pushed.tenants(),
                pushed.limits(),
                pushed.rules());
    }

    /** Guards against any order of events in which a list that nobody has confirmed is used after the grace. */
    @Test
    void nothingIsForwardedAfterTheGraceOfAChangeThatWasNotTold() {
        int[] counts = new int[2];
        walk(new ArrayList<>(), counts);
        assertEquals((int) Math.pow(Event.values().length, DEPTH), counts[0], "sequences");
        assertTrue(counts[1] > counts[0] / 10, "forwarding goes on in many of them: " + counts[1]);
    }

    private static void walk(List<Event> sequence, int[] counts) {
        if (sequence.size() == DEPTH) {
            counts[0]++;
            counts[1] += play(sequence) ? 1 : 0;
            return;
        }
        for (Event event : Event.values()) {
            sequence.add(event);
            walk(sequence, counts);
            sequence.remove(sequence.size() - 1);
        }
    }

    /** Plays a sequence; returns whether requests may be forwarded at its end. */
    private static boolean play(List<Event> sequence) {
        EndpointListAge age = new EndpointListAge(settings(false));
        Expectation expectation = new Expectation();
        double nowMs = START_MS;
        for (Event event : sequence) {
            nowMs += event == Event.TIME ? LONG_STEP_MS : STEP_MS;
            apply(event, nowMs, age, expectation);
            assertTrue(
                    !age.mayForward(nowMs) || expectation.mayForward(nowMs), sequence + " at " + event + ", " + nowMs);
            assertEquals(age.mayForward(nowMs), nowMs < age.forwardUntilMs(), "the timer and the decision agree");
        }
        // However the sequence went, a response that begins now to a poll of the current agent ends every doubt.
        boolean mayForward = age.mayForward(nowMs);
        age.onConfirmed(nowMs, true);
        assertTrue(age.mayForward(nowMs + LONG_STEP_MS), sequence + " leaves a doubt");
        return mayForward;
    }

    private static void apply(Event event, double nowMs, EndpointListAge age, Expectation expectation) {
        switch (event) {
            case RESPONSE_STARTED -> {
                age.onResponseStarted(nowMs);
                expectation.add(nowMs);
                expectation.responseStartedAtMs = nowMs;
            }
            case CONFIRMED, CONFIRMED_BY_PREVIOUS_DISCOVERY -> {
                boolean current = event == Event.CONFIRMED;
                double startedAtMs =
                        Double.isNaN(expectation.responseStartedAtMs) ? nowMs : expectation.responseStartedAtMs;
                age.onConfirmed(startedAtMs, current);
                if (current) {
                    expectation.confirm(startedAtMs);
                }
                expectation.responseStartedAtMs = Double.NaN;
            }
            case BROKEN -> {
                age.onWatchBroken(nowMs);
                expectation.add(nowMs);
            }
            case MOVED -> {
                age.onMoved(nowMs);
                expectation.move(nowMs);
                expectation.responseStartedAtMs = Double.NaN;
            }
            default -> {
                // Only time passes.
            }
        }
    }

    /** Guards against a list of any age that counts as brand new because discovery has never sent one. */
    @Test
    void listThatWasNeverConfirmedIsInfinitelyOld() {
        for (boolean polled : new boolean[] {true, false}) {
            EndpointListAge age = new EndpointListAge(settings(polled));
            assertEquals(Double.POSITIVE_INFINITY, age.ageMs(START_MS));
            age.onConfirmed(START_MS, true);
            assertEquals(STEP_MS, age.ageMs(START_MS + STEP_MS));
        }
    }

    /** Guards against service that ends early because the agent of a new configuration resets polls at first. */
    @Test
    void failuresAfterAMoveDoNotShortenItsTime() {
        EndpointListAge age = new EndpointListAge(settings(false));
        age.onConfirmed(START_MS, true);
        age.onMoved(START_MS);
        age.onWatchBroken(START_MS + STEP_MS);
        age.onResponseStarted(START_MS + STEP_MS);
        assertTrue(age.mayForward(START_MS + NOTIFIED_AFTER_MOVE_MS - 1));
        assertFalse(age.mayForward(START_MS + NOTIFIED_AFTER_MOVE_MS));
    }

    /** Lists that are polled may be used while discovery is down, from the start on and after a move. */
    @Test
    void polledListsAreNeverInDoubt() {
        EndpointListAge age = new EndpointListAge(settings(true));
        age.onMoved(START_MS);
        age.onWatchBroken(START_MS);
        age.onResponseStarted(START_MS);
        assertTrue(age.mayForward(START_MS + LONG_STEP_MS));
        assertEquals(null, age.doubt());
    }

    /** Guards against a doubt that a change between polled and pushed lists forgets, or keeps. */
    @Test
    void changeBetweenPolledAndPushedListsIsAMove() {
        EndpointListAge age = new EndpointListAge(settings(true));
        age.onSettingsChanged(settings(false));
        age.onMoved(START_MS);
        assertEquals(Doubt.MOVED, age.doubt());
        assertTrue(age.mayForward(START_MS + NOTIFIED_AFTER_MOVE_MS - 1));
        assertFalse(age.mayForward(START_MS + NOTIFIED_AFTER_MOVE_MS));
        age.onSettingsChanged(settings(true));
        assertTrue(age.mayForward(START_MS + LONG_STEP_MS));
    }

    /** An operator's decision holds over failures and moves until the list is confirmed. */
    @Test
    void operatorsTrustHoldsUntilTheListIsConfirmed() {
        EndpointListAge age = new EndpointListAge(settings(false));
        age.onTrusted();
        age.onWatchBroken(START_MS);
        age.onMoved(START_MS);
        assertTrue(age.mayForward(START_MS + LONG_STEP_MS));
        age.onConfirmed(START_MS + LONG_STEP_MS, true);
        assertFalse(age.isTrusted());
        age.onWatchBroken(START_MS + 2 * LONG_STEP_MS);
        assertFalse(age.mayForward(START_MS + 3 * LONG_STEP_MS), "it was given for the doubt of then");
    }
}
