package martenlatch.discovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The polls that continue beside the current one, at previous addresses of discovery or in the background, oldest
 * first. Each has a connection of its own, which ends with the poll.
 */
final class SupersededPolls {

    /** The maximum number of polls beside the current one. */
    private static final int MAX_POLLS = 2;

    /** The age up to which a poll at a previous address defers the next one: by then discovery has answered it. */
    private static final double MAX_DEFERRAL_MS = 2000;

    private final DiscoveryTransport transport;
    private final Deque<OutstandingPoll> polls = new ArrayDeque<>();

    SupersededPolls(DiscoveryTransport transport) {
        this.transport = transport;
    }

    /** Adds a poll, and ends the oldest one if there are too many. */
    void add(OutstandingPoll poll) {
        polls.addLast(poll);
        if (polls.size() > MAX_POLLS) {
            end(polls.getFirst());
        }
    }

    /** Returns the poll with this number, or null. */
    OutstandingPoll find(long number) {
        return polls.stream()
                .filter(each -> each.number() == number)
                .findFirst()
                .orElse(null);
    }

    /** Ends a poll and its connection. */
    void end(OutstandingPoll ended) {
        ended.end();
        polls.remove(ended);
        transport.endSuperseded(ended.number());
    }

    /** Ends this poll and all earlier ones; does nothing if it is not one of these polls. */
    void endUpTo(OutstandingPoll answered) {
        while (polls.contains(answered)) {
            end(polls.getFirst());
        }
    }

    void endAll() {
        while (!polls.isEmpty()) {
            end(polls.getFirst());
        }
    }

    /** Ends the poll in the background, if there is one that discovery has not begun to answer. */
    void endSilentBackgroundPoll() {
        polls.stream()
                .filter(each -> each.isInBackground() && !each.hasResponseStarted())
                .findFirst()
                .ifPresent(this::end);
    }

    /** Returns whether this poll, which may be one of these, can continue in the background. */
    boolean hasBackgroundRoomFor(OutstandingPoll poll) {
        boolean isRoom = polls.contains(poll) || polls.size() < MAX_POLLS;
        return isRoom && polls.stream().noneMatch(OutstandingPoll::isInBackground);
    }

    /** Called when a list of this version has arrived from the current address. */
    void requireVersion(long version) {
        polls.forEach(each -> each.requireVersion(version));
    }

    /** Returns for how long a poll at a previous address that discovery answers at once defers the next one. */
    double remainingDeferralMs(int currentAddressNumber) {
        return polls.stream()
                .filter(each -> each.addressNumber() != currentAddressNumber && !each.isInBackground())
                .filter(each -> !each.poll().isWatch() || each.poll().timing().isWithoutWait())
                .mapToDouble(each -> MAX_DEFERRAL_MS - each.sinceSentMs())
                .max()
                .orElse(0);
    }
}
