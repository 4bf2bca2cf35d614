package martenlatch.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * The events of a load balancer, in order. What is raised while the balancer handles an event waits until it has
 * returned: the balancer is never called from within its own call.
 */
final class BalancerEventQueue {

    /** An event, told the time at which the balancer hears of it. */
    interface Event {
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
     * @param onException hears of each exception that the balancer throws
     * @param onFailure hears of each request whose event it failed to handle
     * @param afterDispatch hears of each request after its event
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

    /** Adds an event that concerns no single request. */
    void enqueue(Event event) {
        enqueue(null, event);
    }

    /** Adds an event of a request; it is dispatched before this returns, unless another one is being dispatched. */
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
