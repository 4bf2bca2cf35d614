package martenlatch.host;

import martenlatch.policy.Contract.Outcome;

/** Sends the attempts of one call, by connections of ours or by a proxy's. It never tries again by itself. */
public interface Carrier {

    /** One attempt on its way. */
    interface Attempt {
        /** Stops waiting; true if the attempt may have run, or may yet. */
        boolean giveUp();

        /**
         * Ends the attempt if nothing of it has been sent yet; true if so, and then nothing of it will be.
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
     */
    Attempt send(String server, double waitMs, Ending ending);
}
