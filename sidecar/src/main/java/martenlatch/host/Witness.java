package martenlatch.host;

import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Request;

/** Hears of all that is decided and how it ended, in its order; it must not act on it. */
public interface Witness {

    /** The one final word on a call. */
    enum Final {
        SERVED,
        TURNED_AWAY,
        REFUSED,
        FAILED,
        GONE
    }

    /** Hears and keeps nothing. */
    Witness NONE = new Witness() {};

    /** A call was taken. */
    default void taken(Request request) {}

    /** An attempt was decided on; attempts count from 0, the time-out is in milliseconds. */
    default void sent(String request, int attempt, String server, double timeoutMs) {}

    /** An attempt ended. */
    default void ended(String request, int attempt, AttemptOutcome outcome) {}

    /** A call was concluded; the cool-down, in milliseconds, is above 0 only with a refusal. */
    default void concluded(String request, Final end, double coolDownMs) {}
}
