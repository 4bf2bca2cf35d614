package martenlatch.host;

import martenlatch.policy.api.AttemptOutcome;

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

    /** What holds of an attempt at the moment in which it is written, which may be long after the decision. */
    interface Conditions {
        /** How long it will still be waited for, in milliseconds. */
        double remainingMs();

        /** Whether its client is still connected, by a look at its connection now; if not, the attempt is withdrawn. */
        boolean isClientConnected();
    }

    /** How an attempt ended; it is told once, and never after {@link Attempt#giveUp}. */
    interface Ending {
        /** The answer is null where none came. */
        void ended(AttemptOutcome outcome, Answer answer);
    }

    /**
     * Sends the call to an endpoint, once. It may end before this returns.
     *
     * @param server the endpoint's id
     * @param conditions to be asked just before it is written
     * @param notAfter the time after which it must not be sent on any more, however long it had to wait for
     *     that: what is not on its way by then ends as {@code IGNORED}; positive infinity for any time
     */
    Attempt send(String server, Conditions conditions, double notAfter, Ending ending);
}
