package martenlatch.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Dispatches events to a load balancer in order. Events that are enqueued while the balancer handles another event wait
 * until it has returned, so that the balancer is never called re-entrantly.
 */
final class BalancerEventQueue {

    /** An event for the load balancer. */
    interface Event {
        /** Passes the event to the balancer; {@code nowMs} is the time of dispatch, not of {@link #enqueue}. */
        void dispatch(double nowMs);
    }

    private record QueuedEvent(PendingRequest request, Event event) {}

    private final Scheduler scheduler;
    private final Consumer<RuntimeException> onException;
    private final Consumer<PendingRequest> onFailure;
    private final Consumer<PendingRequest> afterDispatch;
    private final Deque<QueuedEvent> events = new ArrayDeque<>();
    private boolean dispatching;

    /**
     * Creates an empty queue.
     *
     * @param onException called with each exception that the balancer throws
     * @param onFailure called with each request whose event the balancer failed to handle
     * @param afterDispatch called with each request after its event was dispatched
     */
    BalancerEventQueue(
            Scheduler scheduler,
            Consumer<RuntimeException> onException,
            Consumer<PendingRequest> onFailure,
            Consumer<PendingRequest> afterDispatch) {
        this.scheduler = scheduler;
        this.onException = onException;
        this.onFailure = onFailure;
        this.afterDispatch = afterDispatch;
    }

    /** Enqueues an event that does not belong to a request. */
    void enqueue(Event event) {
        enqueue(null, event);
    }

    /** Enqueues an event of a request; dispatches it before returning unless another one is being dispatched. */
    void enqueue(PendingRequest request, Event event) {
        events.add(new QueuedEvent(request, event));
        if (dispatching) {
            return;
        }
        dispatching = true;
        try {
            for (QueuedEvent next = events.poll(); next != null; next = events.poll()) {
                dispatch(next.request(), next.event());
            }
        } finally {
            dispatching = false;
        }
    }

    private void dispatch(PendingRequest request, Event event) {
        try {
            event.dispatch(scheduler.now());
        } catch (RuntimeException e) {
            onException.accept(e);
            if (request != null) {
                onFailure.accept(request);
            }
        }
        if (request != null) {
            afterDispatch.accept(request);
        }
    }
}
