package martenlatch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.PollFailure;
import martenlatch.request.EndpointList;

/** Records polls and their results, and checks that polls do not overlap and that results are reported once. */
final class PollRecorder implements DiscoveryTransport, EndpointList.Listener {
    final List<Poll> polls = new ArrayList<>();
    /** The polls that continue at previous addresses, by number. */
    final Map<Long, Poll> superseded = new HashMap<>();

    /** The confirmations that are outstanding beside a watch, by number, and all that have been sent. */
    final Map<Long, Poll> confirmations = new HashMap<>();

    final List<Poll> sentConfirmations = new ArrayList<>();

    Poll outstanding;
    boolean isFromPreviousAddress;
    /** Whether a confirmation is being answered, which leaves the watch as it is. */
    boolean isConfirmation;

    int lists;
    int completed;
    int failures;
    int moves;
    int aborts;

    @Override
    public void send(Poll poll) {
        assertTrue(outstanding == null, "a poll was sent while another one was outstanding");
        outstanding = poll;
        polls.add(poll);
    }

    @Override
    public void sendBeside(Poll poll) {
        assertTrue(outstanding != null, "a confirmation was sent although no watch is open");
        confirmations.put(poll.number(), poll);
        sentConfirmations.add(poll);
        assertTrue(confirmations.size() <= 2, "the number of confirmations is limited");
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
        assertTrue(superseded.remove(poll) != null || confirmations.remove(poll) != null, "an unknown poll was ended");
    }

    @Override
    public void onEndpointList(EndpointList list) {
        lists++;
        if (isFromPreviousAddress || isConfirmation) {
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
    public void onPollFailed(PollFailure failure, double listAgeMs) {
        assertTrue(outstanding == null, "the failed poll is not outstanding");
        failures++;
    }

    @Override
    public void onDiscoveryMoved(double listAgeMs) {
        assertTrue(outstanding == null, "no poll is outstanding at the new address");
        assertTrue(superseded.size() <= 2, "the number of polls at previous addresses is limited");
        moves++;
    }
}
