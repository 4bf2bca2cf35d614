package martenlatch.frontend.http;

import martenlatch.net.MemoryBudget;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestTracker;
import martenlatch.request.Scheduler;
import martenlatch.upstream.EndpointPool;

/**
 * The components shared by all connections of a frontend.
 *
 * @param scheduler the clock and timers of the event loop
 * @param logger the log for operators
 * @param requestTracker accepts the requests
 * @param endpointPool sends the attempts of the requests
 * @param memory accounts for the memory that is held for clients
 * @param connections all client connections
 * @param state readiness, shutdown and settings
 */
record FrontendContext(
        Scheduler scheduler,
        RateLimitedLogger logger,
        RequestTracker requestTracker,
        EndpointPool endpointPool,
        MemoryBudget memory,
        ClientConnections connections,
        FrontendState state) {

    /** Returns whether the frontend is ready for clients. */
    boolean isReady() {
        return state.isReady(connections.isListening(), requestTracker.knowsEndpoints());
    }
}
