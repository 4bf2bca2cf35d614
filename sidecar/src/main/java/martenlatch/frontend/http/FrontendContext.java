package martenlatch.frontend.http;

import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.upstream.EndpointPool;

/**
 * What the connections of a frontend share.
 *
 * @param scheduler the clock and timers of the event loop
 * @param logger for what operators should see
 * @param requestTracker takes the requests
 * @param endpointPool sends their attempts
 * @param bodyMemory bounds the memory of bodies
 * @param connections all client connections
 * @param state whether and how requests are taken
 */
record FrontendContext(
        Scheduler scheduler,
        RateLimitedLogger logger,
        RequestTracker requestTracker,
        EndpointPool endpointPool,
        BodyMemoryBudget bodyMemory,
        ClientConnections connections,
        FrontendState state) {

    /** Whether clients may come. */
    boolean isReady() {
        return state.isReady(connections.isListening(), requestTracker.knowsEndpoints());
    }
}
