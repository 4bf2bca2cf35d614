package martenlatch.discovery;

import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.PollFailure;
import martenlatch.request.EndpointList;
import martenlatch.request.Scheduler;

/**
 * Delays readiness at startup until the endpoint list is current, because the list in the configuration may be of any
 * age. Only a response from discovery shows that the list is current; an open poll may still be rejected.
 *
 * <p>The wait is bounded, as a process has to be ready in time even during an outage of discovery. The end of the wait
 * says nothing about the list: whether requests are forwarded is decided by
 * {@link martenlatch.policy.EndpointListAge}. If lists are polled, they are forwarded by the list of the configuration.
 * The wait then also ends with the first poll that cannot connect, as no change counts as notified while discovery is
 * unreachable. While bytes of a response arrive, the list is likely to be complete soon, so the wait goes on for a
 * bounded time. If lists are pushed, requests are held back until the local agent has answered.
 *
 * <p>This class does no I/O and is called on the event loop.
 */
public final class EndpointListGate {

    /** The reason why the wait has ended. */
    public enum Reason {
        /** Discovery has sent a list. */
        LIST_CURRENT,
        /** No connection to discovery could be established. */
        DISCOVERY_UNREACHABLE,
        /** The maximum wait has passed, and the list is still that of the configuration. */
        TIMED_OUT
    }

    /** Notified once when the wait ends. */
    public interface Listener {
        /** Called when the process may become ready. */
        void onOpen(Reason reason);
    }

    /**
     * The default maximum wait. It is long enough for two polls that an overloaded discovery rejects and a third one.
     * Together with the rest of the startup it stays below the 10 s within which a restarted sidecar has to be ready.
     */
    public static final long DEFAULT_MAX_WAIT_MS = 7_000;

    /**
     * The maximum wait for a local agent. Together with the rest of the startup it stays below the 6 s within which a
     * restarted sidecar has to be ready at the latest.
     */
    private static final double MAX_AGENT_WAIT_MS = 4_000;

    /** The time by which the maximum wait is exceeded at most while bytes of a response arrive. */
    private static final double MAX_WAIT_FOR_ARRIVING_RESPONSE_MS = 2_000;

    /** A response is no longer arriving if there were no bytes for this long. */
    private static final double STALL_TIMEOUT_MS = 1_000;

    /** The interval at which the end of a response is checked once the wait would be over. */
    private static final double CHECK_INTERVAL_MS = 50;

    private final Scheduler scheduler;
    private final Listener listener;
    private final boolean pollsEndpointList;
    private final double latestOpenAtMs;
    private double lastBytesAtMs = Double.NEGATIVE_INFINITY;
    private boolean open;

    /**
     * Creates a closed gate and starts its timers.
     *
     * @param settings specify whether lists are polled or pushed
     * @param maxWaitMs the time after which the gate opens in any case, in milliseconds
     * @param listener notified when the gate opens
     */
    public EndpointListGate(Scheduler scheduler, BalancerSettings settings, double maxWaitMs, Listener listener) {
        this.scheduler = scheduler;
        this.listener = listener;
        pollsEndpointList = settings.pollsEndpointList();
        if (pollsEndpointList) {
            latestOpenAtMs = scheduler.now() + maxWaitMs + MAX_WAIT_FOR_ARRIVING_RESPONSE_MS;
            scheduler.after(maxWaitMs, this::onMaxWaitOver);
        } else {
            latestOpenAtMs = scheduler.now() + Math.min(maxWaitMs, MAX_AGENT_WAIT_MS);
            scheduler.after(latestOpenAtMs - scheduler.now(), () -> open(Reason.TIMED_OUT));
        }
    }

    private void onMaxWaitOver() {
        if (isResponseArriving() && scheduler.now() < latestOpenAtMs) {
            scheduler.after(CHECK_INTERVAL_MS, this::onMaxWaitOver);
        } else {
            open(Reason.TIMED_OUT);
        }
    }

    private boolean isResponseArriving() {
        return !open && scheduler.now() - lastBytesAtMs < STALL_TIMEOUT_MS;
    }

    /** Returns a listener that forwards every call to {@code next} and opens the gate after the first list. */
    public EndpointList.Listener wrap(EndpointList.Listener next) {
        return new EndpointList.Listener() {
            @Override
            public void onResponseBytes() {
                lastBytesAtMs = scheduler.now();
                next.onResponseBytes();
            }

            @Override
            public void onEndpointList(EndpointList list) {
                next.onEndpointList(list);
                open(Reason.LIST_CURRENT);
            }

            @Override
            public void onPollCompleted(double listAgeMs) {
                next.onPollCompleted(listAgeMs);
            }

            @Override
            public void onPollFailed(PollFailure failure, double listAgeMs) {
                next.onPollFailed(failure, listAgeMs);
                if (failure == PollFailure.UNREACHABLE && pollsEndpointList) {
                    open(Reason.DISCOVERY_UNREACHABLE);
                }
            }

            @Override
            public void onDiscoveryMoved(double listAgeMs) {
                next.onDiscoveryMoved(listAgeMs);
            }

            @Override
            public void onForwardingChanged(boolean allowed) {
                next.onForwardingChanged(allowed);
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
