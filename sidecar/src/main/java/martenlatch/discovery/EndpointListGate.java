package martenlatch.discovery;

import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.EndpointList;
import martenlatch.request.PollFailure;
import martenlatch.request.Scheduler;

/**
 * Holds a starting process back until its endpoint list is current: the list in its configuration may be of any age.
 * Only an answer of discovery shows that; a poll that is still open may be rejected yet. An outage must not keep
 * sidecars from serving, so the wait is bounded, and where lists are polled it ends with the first poll that finds no
 * connection, as no change counts as notified then. A local agent that refuses connections has not started yet, and
 * what it has counts as notified already: it is waited for. No I/O; called on the event loop.
 */
public final class EndpointListGate {

    /** Why the wait has ended. */
    public enum Reason {
        /** Discovery has answered. */
        LIST_CURRENT,
        /** There is no connection to discovery. */
        DISCOVERY_UNREACHABLE,
        /** The time is over, and the list in use is still the configuration's. */
        TIMED_OUT
    }

    /** Hears once of the end of the wait. */
    public interface Listener {
        /** Clients may be served from now on. */
        void onOpen(Reason reason);
    }

    /**
     * Enough for two polls that a crowded discovery rejects and a third one; with the rest of the start it is less than
     * the 10 s within which a restarted sidecar has to be ready.
     */
    public static final long DEFAULT_MAX_WAIT_MS = 7_000;

    /** An agent answers at once; one that is silent for so long has lost its discovery. */
    private static final double MAX_AGENT_SILENCE_MS = 2000;

    private final Listener listener;
    private final boolean pollsEndpointList;
    private boolean open;
    private boolean unreachable;

    /**
     * Creates a gate.
     *
     * @param settings tell whether lists are polled or pushed
     * @param maxWaitMs the time after which it opens in any case, in milliseconds
     */
    public EndpointListGate(Scheduler scheduler, BalancerSettings settings, double maxWaitMs, Listener listener) {
        this.listener = listener;
        pollsEndpointList = settings.pollsEndpointList();
        scheduler.after(maxWaitMs, () -> open(Reason.TIMED_OUT));
        if (!pollsEndpointList) {
            scheduler.after(MAX_AGENT_SILENCE_MS, this::onAgentSilent);
        }
    }

    private void onAgentSilent() {
        if (!unreachable) {
            open(Reason.TIMED_OUT);
        }
    }

    /** A listener that passes everything on, and has the gate open once a list has been passed on. */
    public EndpointList.Listener wrap(EndpointList.Listener next) {
        return new EndpointList.Listener() {
            @Override
            public void onEndpointList(EndpointList list) {
                next.onEndpointList(list);
                open(Reason.LIST_CURRENT);
            }

            @Override
            public void onPollCompleted() {
                next.onPollCompleted();
            }

            @Override
            public void onPollFailed(PollFailure failure) {
                next.onPollFailed(failure);
                unreachable = failure == PollFailure.UNREACHABLE;
                if (unreachable && pollsEndpointList) {
                    open(Reason.DISCOVERY_UNREACHABLE);
                }
            }

            @Override
            public void onDiscoveryMoved() {
                next.onDiscoveryMoved();
            }
        };
    }

    private void open(Reason reason) {
        if (!open) {
            open = true;
            listener.onOpen(reason);
        }
    }
}
