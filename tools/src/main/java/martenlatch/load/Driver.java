package martenlatch.load;

/** Sends requests in one protocol, on one event loop. Separates the load generator from the system under test. */
public interface Driver {

    /** Notified of the progress and the outcome of a request. */
    interface Ending {

        /** Called when the request is written, at once or after it waited for a connection. */
        void written();

        /**
         * Called exactly once per request, unless the request is given up.
         *
         * @param cause short text from a closed list that distinguishes causes of the same outcome; empty if served
         * @param retryAfterMs delay after which the service asked for a retry; NaN if it did not ask
         */
        void ended(RequestOutcome outcome, String cause, double retryAfterMs);
    }

    /** A request that has not ended. */
    interface Call {

        /**
         * Gives the request up at its deadline; {@link Ending#ended} is not called after this. Returns whether it was
         * sent.
         */
        boolean giveUp();
    }

    /**
     * Sends a request at once, or when a connection becomes free.
     *
     * @param id unique id of the request
     * @param retry whether an earlier request of the same arrival has failed
     * @param leftNanos time left until the client's deadline
     * @return the request in progress
     */
    Call send(Arrival arrival, String id, boolean retry, long leftNanos, Ending ending);

    /** Closes all connections. */
    void close();
}
