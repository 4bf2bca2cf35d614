package martenlatch.host;

import martenlatch.policy.Contract.Outcome;

/** Sends the attempts of one call, by connections of ours or by a proxy's. It never tries again by itself. */
public interface Carrier {

    /** One attempt on its way. */
    interface Attempt {
        /** Stops waiting; true if the attempt may have run, or may yet. */
        boolean giveUp();

        /**
         * Ends the attempt if its last byte is not on its way yet; true if so, and then it never runs.
         */
        boolean withdraw();
    }

    /** How an attempt ended; it is told once, and never after {@link Attempt#giveUp}. */
    interface Ending {
        /** The answer is null where none came. */
        void ended(Outcome outcome, Answer answer);
    }

    /**
     * Sends the call to an endpoint, once. It may end before this returns.
     *
     * @param server the endpoint's id
     * @param waitMs how long it will be waited for, in milliseconds; above 0
     * @param notAfter the time after which it must not be sent on any more, however long it had to wait for
     *     that: what is not on its way by then ends as {@code IGNORED}; positive infinity for any time
     */
    Attempt send(String server, double waitMs, double notAfter, Ending ending);
}
