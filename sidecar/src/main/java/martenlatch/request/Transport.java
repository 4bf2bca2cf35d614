package martenlatch.request;

import martenlatch.policy.api.AttemptOutcome;

/** Sends the attempts of one request: on own connections, or through a calling proxy. It never retries by itself. */
public interface Transport {

    /** An attempt that was started. */
    interface Attempt {
        /** Stops waiting for a response; true if the request may have been executed, or may yet be. */
        boolean giveUp();

        /** Ends the attempt if its last byte is not written yet; true if so, and then it is never executed. */
        boolean withdraw();
    }

    /** Hears how an attempt ended: once, and never after {@link Attempt#giveUp}. */
    interface AttemptListener {
        /** The attempt has ended; the response is null where none came. */
        void onAttemptFinished(AttemptOutcome outcome, EndpointResponse response);
    }

    /** What holds of an attempt at the moment in which it is written, which may be long after the decision. */
    interface WriteConditions {
        /** How long a response will still be waited for, in milliseconds. */
        double remainingMs();

        /** Whether its client is still connected, by a look at its connection now; if not, the attempt is withdrawn. */
        boolean isClientConnected();
    }

    /**
     * Sends the request to an endpoint, once. The attempt may end before this returns.
     *
     * @param endpointId the endpoint's id
     * @param conditions to be asked just before the attempt is written
     * @param notAfterMs the time after which it must not be written any more, however long it had to wait for that:
     *     what is not written by then ends as {@code NOT_EXECUTED}; positive infinity for any time
     * @param listener hears how it ended
     */
    Attempt send(String endpointId, WriteConditions conditions, double notAfterMs, AttemptListener listener);
}
