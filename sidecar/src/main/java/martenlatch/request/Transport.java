package martenlatch.request;

import java.util.Optional;
import martenlatch.policy.api.AttemptOutcome;

/** Sends the attempts of one request on its own connections or through a calling proxy. Never retries by itself. */
public interface Transport {

    /** An attempt that was started. */
    interface Attempt {
        /** Stops waiting for a response; returns true if the request may have been or may still be executed. */
        boolean giveUp();

        /** Ends the attempt if its last byte is not written yet; returns true if so, as it is then never executed. */
        boolean withdraw();

        /** Returns how far a response that serves the request has arrived, unless it is complete. */
        default Optional<ResponseProgress> responseProgress() {
            return Optional.empty();
        }

        /** Returns how the endpoint takes a request body that is written while it arrives; empty if there is none. */
        default Optional<BodyProgress> uploadProgress() {
            return Optional.empty();
        }

        /**
         * Reports the response that is arriving, so that it is passed on while the rest arrives; returns false if it
         * has stopped, trickles or has to wait for another response.
         */
        default boolean passOnResponse() {
            return false;
        }
    }

    /**
     * How far a response has arrived that is not complete.
     *
     * @param startedAtMs the time at which its head was complete
     * @param lastBytesAtMs the time at which its last bytes arrived
     * @param flowing whether its body makes progress steadily
     */
    record ResponseProgress(double startedAtMs, double lastBytesAtMs, boolean flowing) {}

    /** Notified of the end of an attempt: at most once, and never after {@link Attempt#giveUp}. */
    interface AttemptListener {
        /** Returns whether the response may be reported before it is complete. */
        default boolean mayStream() {
            return true;
        }

        /** Called when the operating system has accepted the last byte of the request. */
        default void onRequestWritten() {}

        /** Called when the attempt has ended; the response is null if none arrived. */
        void onAttemptFinished(AttemptOutcome outcome, EndpointResponse response);
    }

    /** The conditions of an attempt at the time when it is written, which may be long after the decision. */
    interface WriteConditions {
        /** Returns the time left until the attempt times out, in milliseconds. */
        double remainingMs();

        /** Returns whether the attempt ends at a certain time if its endpoint does nothing. */
        default boolean isTimeLimited() {
            return true;
        }

        /** Checks whether the client is still connected; if not, withdraws the attempt and returns false. */
        boolean isClientConnected();
    }

    /**
     * Sends the request to an endpoint, once. The attempt may end before this returns.
     *
     * @param endpointId the endpoint's id
     * @param conditions checked just before the attempt is written
     * @param notAfterMs the time after which the attempt must not be written; if it is not written by then, for example
     *     because it waited for a connection, it ends as {@code NOT_EXECUTED}; positive infinity for no limit
     * @param listener notified when the attempt ends
     */
    Attempt send(String endpointId, WriteConditions conditions, double notAfterMs, AttemptListener listener);
}
