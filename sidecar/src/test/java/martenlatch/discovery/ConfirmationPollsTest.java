package martenlatch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the polls that confirm the endpoint list beside an open watch. */
class ConfirmationPollsTest extends WatcherTestCase {

    /** A change has to be known after 6 s, and discovery takes up to 2 s for a poll. */
    private static final double MAX_INTERVAL_MS = 4000;

    private static final double MIN_INTERVAL_MS = 3000;
    private static final double SLOW_RESPONSE_MS = 750;
    /** Three quarters of the longest delay after a failed poll. */
    private static final double MIN_RETRY_DELAY_MS = 2250;

    /** Advances the clock until a confirmation has been sent, and returns its number. */
    private long awaitConfirmation() {
        int sent = transport.sentConfirmations.size();
        while (transport.sentConfirmations.size() == sent) {
            clock.advance(1);
        }
        return lastConfirmation();
    }

    private long lastConfirmation() {
        return transport
                .sentConfirmations
                .get(transport.sentConfirmations.size() - 1)
                .number();
    }

    private void answerConfirmation(long number, long version) {
        watcher.onResponseBytes(number, 1);
        transport.isConfirmation = true;
        watcher.onList(number, delta(version));
        transport.isConfirmation = false;
    }

    /** Guards against a silent watch that is trusted until its wait is over (incident 94dd5d). */
    @Test
    void listIsConfirmedWhileTheWatchSaysNothing() {
        startWatch();
        double confirmedAtMs = clock.now();
        for (int i = 0; i < 4; i++) {
            long number = awaitConfirmation();
            double intervalMs = clock.now() - confirmedAtMs;
            assertTrue(intervalMs >= MIN_INTERVAL_MS - 1 && intervalMs <= MAX_INTERVAL_MS + 1, "after " + intervalMs);
            confirmedAtMs = clock.now();
            answerConfirmation(number, 7);
        }
        assertEquals(
                "/registry/instances?index=7&wait=1",
                transport.sentConfirmations.get(0).path());
        assertEquals(List.of(2, 1), List.of(transport.polls.size(), transport.lists), "the watch goes on");
    }

    /** What a confirmation brings is applied at once, and the watch that has missed it is sent anew. */
    @Test
    void watchThatHasMissedAChangeIsSentAnew() {
        startWatch();
        answerConfirmation(awaitConfirmation(), 8);
        assertEquals(2, transport.lists);
        clock.advance(999);
        assertEquals(2, transport.polls.size(), "the watch may still bring it");
        clock.advance(1);
        assertEquals("/registry/instances?index=8&wait=20000", transport.outstanding.path());
        assertEquals(List.of(1, 0), List.of(transport.aborts, transport.failures));
    }

    @Test
    void watchThatBringsTheChangeTooGoesOn() {
        startWatch();
        answerConfirmation(awaitConfirmation(), 8);
        clock.advance(500);
        watcher.onResponseBytes(transport.outstanding.number(), 1);
        clock.advance(900);
        answer(transport.outstanding.number(), 8);
        assertEquals(List.of(3, 0), List.of(transport.polls.size(), transport.aborts));
    }

    /** A list that was composed before one that has arrived must not bring back endpoints that drain. */
    @Test
    void confirmationThatIsOvertakenByTheWatchIsIgnored() {
        startWatch();
        long number = awaitConfirmation();
        answer(transport.outstanding.number(), 9);
        int lists = transport.lists;
        watcher.onList(number, delta(8));
        assertEquals(lists, transport.lists);
        assertTrue(transport.outstanding.path().contains("index=9&"), transport.outstanding.path());
    }

    @Test
    void watchThatIsOvertakenByAConfirmationIsIgnored() {
        startWatch();
        long watch = transport.outstanding.number();
        answerConfirmation(awaitConfirmation(), 9);
        int lists = transport.lists;
        answer(watch, 8);
        assertEquals(lists, transport.lists);
        assertTrue(transport.outstanding.path().contains("index=9&"), transport.outstanding.path());
    }

    /** A version that went back shows that discovery started anew, which the watch has to be told. */
    @Test
    void olderVersionRestartsTheWatch() {
        startWatch();
        long watch = transport.outstanding.number();
        answerConfirmation(awaitConfirmation(), 3);
        assertEquals(1, transport.lists, "which of both is right is shown by the watch");
        assertNotEquals(watch, transport.outstanding.number());
        int sent = transport.sentConfirmations.size();
        clock.advance(500);
        assertEquals(sent, transport.sentConfirmations.size(), "no tight loop");
    }

    /** Guards against a second silent connection in a row: the first confirmation is not waited for. */
    @Test
    void unansweredConfirmationIsRepeatedBesideTheFirst() {
        startWatch();
        answerConfirmation(awaitConfirmation(), 7);
        long first = awaitConfirmation();
        clock.advance(SLOW_RESPONSE_MS);
        assertEquals(2, transport.confirmations.size());
        answerConfirmation(lastConfirmation(), 8);
        assertEquals(2, transport.lists);
        assertTrue(transport.confirmations.isEmpty(), "both have ended");
        watcher.onList(first, delta(9));
        assertEquals(2, transport.lists, "the answer to an ended poll is ignored");
    }

    @Test
    void lostConnectionIsReplacedSoonButNotInATightLoop() {
        startWatch();
        long lost = awaitConfirmation();
        double lostAtMs = clock.now();
        watcher.onFailure(lost, new IOException("reset"));
        watcher.onFailure(awaitConfirmation(), new IOException("reset"));
        assertTrue(clock.now() - lostAtMs <= 251, "replaced after " + (clock.now() - lostAtMs));
        for (int i = 0; i < 20; i++) {
            watcher.onFailure(awaitConfirmation(), new IOException("reset"));
        }
        assertTrue(clock.now() - lostAtMs > 18 * MIN_RETRY_DELAY_MS, "20 polls in " + (clock.now() - lostAtMs) + " ms");
        assertEquals(0, transport.failures, "the watch is still open");
    }

    /** Confirmations give way to the polls that a crowded discovery has to answer first. */
    @Test
    void confirmationsBecomeRareWhileDiscoveryIsSlowOrRejects() {
        startWatch();
        watcher.onFailure(awaitConfirmation(), "status 503");
        double rejectedAtMs = clock.now();
        watcher.onFailure(awaitConfirmation(), "status 503");
        assertTrue(clock.now() - rejectedAtMs >= 2 * MIN_INTERVAL_MS - 1);
        rejectedAtMs = clock.now();
        long slow = awaitConfirmation();
        assertTrue(clock.now() - rejectedAtMs >= 4 * MIN_INTERVAL_MS - 1);
        clock.advance(SLOW_RESPONSE_MS);
        assertEquals(1, transport.confirmations.size(), "no second one while discovery is crowded");
        answerConfirmation(slow, 7);
        double answeredAtMs = clock.now();
        answer(transport.outstanding.number(), 8);
        awaitConfirmation();
        assertTrue(clock.now() - answeredAtMs >= 4 * MIN_INTERVAL_MS - 1);
    }

    @Test
    void confirmationsBecomeFrequentAgainWhileDiscoveryIsPrompt() {
        startWatch();
        watcher.onFailure(awaitConfirmation(), "status 503");
        watcher.onFailure(awaitConfirmation(), "status 503");
        for (int i = 0; i < 6; i++) {
            answerConfirmation(awaitConfirmation(), 7);
        }
        double answeredAtMs = clock.now();
        awaitConfirmation();
        assertTrue(clock.now() - answeredAtMs <= MAX_INTERVAL_MS + 1);
    }

    /** Guards against a process without any poll: a list makes the listener drop the poll that was due. */
    @Test
    void listThatArrivesAfterTheWatchHasFailedStartsAWatch() {
        startWatch();
        long number = awaitConfirmation();
        watcher.onFailure(transport.outstanding.number(), new IOException("reset"));
        assertEquals(1, transport.failures);
        answerConfirmation(number, 8);
        assertTrue(transport.outstanding.path().contains("index=8&wait=20000"), transport.outstanding.path());
    }

    @Test
    void moveEndsConfirmations() {
        startWatch();
        long number = awaitConfirmation();
        watcher.onMoved();
        assertTrue(transport.confirmations.isEmpty());
        watcher.onList(number, delta(9));
        assertEquals(1, transport.lists);
        clock.advance(MAX_INTERVAL_MS);
        assertEquals(1, transport.sentConfirmations.size(), "the whole list is asked for at the new address");
    }

    /** A watch that is sent after a failure is confirmed soon if discovery says nothing, as it may be silent too. */
    @Test
    void overdueListIsConfirmedSoonAfterANewWatch() {
        startWatch();
        watcher.onFailure(awaitConfirmation(), new IOException("reset"));
        watcher.onFailure(transport.outstanding.number(), new IOException("reset"));
        clock.advance(5000);
        watcher.start();
        double sentAtMs = clock.now();
        awaitConfirmation();
        assertTrue(
                clock.now() - sentAtMs >= SLOW_RESPONSE_MS - 1, "the watch is answered at once if there is a change");
        assertTrue(clock.now() - sentAtMs <= 1001, "after " + (clock.now() - sentAtMs));
    }

    /** A response that is arriving is no silence. */
    @Test
    void arrivingResponseIsNotConfirmed() {
        startWatch();
        for (int i = 0; i < 7; i++) {
            watcher.onResponseBytes(transport.outstanding.number(), 1);
            clock.advance(500);
        }
        assertTrue(transport.sentConfirmations.isEmpty());
        answer(transport.outstanding.number(), 8);
        double answeredAtMs = clock.now();
        awaitConfirmation();
        assertTrue(clock.now() - answeredAtMs <= MAX_INTERVAL_MS + 1);
    }
}
