package martenlatch.load;

/** A protocol, on one event loop: the seam between the generator and what it loads. */
public interface Driver {

    /** What becomes of a request. */
    interface Ending {

        /** It is on its way: it had to wait for a connection until now, or had one at once. */
        void written();

        /**
         * Its one end.
         *
         * @param cause a few words that tell ends of the same kind apart, from a closed list
         * @param retryAfterMs when the service asked to be tried again; NaN where it did not
         */
        void ended(RequestOutcome end, String cause, double retryAfterMs);
    }

    /** A request that is under way. */
    interface Call {

        /** Its time is over: whatever comes of it now is not waited for. Its ending is not told. */
        boolean giveUp();
    }

    /**
     * Sends a request, at once or, while no connection is free, later.
     *
     * @param id the request's own; no other has it
     * @param retry whether an earlier request for the same wish has failed
     * @param leftNanos until its client waits no longer
     * @return its call; {@link Call#giveUp} tells whether any of it was sent
     */
    Call send(Arrival wish, String id, boolean retry, long leftNanos, Ending ending);

    /** Ends all connections. */
    void close();
}
