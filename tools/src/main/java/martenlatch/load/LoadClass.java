package martenlatch.load;

import java.util.Locale;

/**
 * A request class of the generated load.
 *
 * @param share relative share of all arrivals
 * @param bodyBytes length of the request body; not used for repeatable requests, which have no body
 * @param deadlineMs how long the client waits for an answer
 * @param retries maximum number of retries by the client, each a new request
 */
public record LoadClass(String name, double share, Effect effect, int bodyBytes, int deadlineMs, int retries) {

    /** The effect of running a request more than once. */
    public enum Effect {
        /** No effect; sent with GET. */
        REPEATABLE,
        /** No effect if the idempotency key is the same; sent with POST and {@code Idempotency-Key}. */
        KEYED,
        /** Not safe to repeat; sent with POST. */
        UNSAFE;

        /**
         * Parses a lower-case name; throws an exception that names the field and the value if there is no such effect.
         */
        public static Effect parse(String text) {
            try {
                return valueOf(text.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(
                        "effect must be repeatable, keyed or unsafe but is \"" + text + "\"", e);
            }
        }
    }

    /** The limit of the protocol. */
    static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int MAX_DEADLINE_MS = 600_000;
    private static final int MAX_RETRIES = 100;

    public LoadClass {
        if (name.isEmpty() || !name.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException("name must be printable ASCII but is \"" + name + "\"");
        }
        if (!(share > 0 && share <= 1e9)) {
            throw new IllegalArgumentException("share must be above 0 but is " + share);
        }
        requireWithin("body-bytes", bodyBytes, 0, MAX_BODY_BYTES);
        requireWithin("deadline-ms", deadlineMs, 1, MAX_DEADLINE_MS);
        requireWithin("retries", retries, 0, MAX_RETRIES);
    }

    private static void requireWithin(String field, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(field + " must be " + min + " to " + max + " but is " + value);
        }
    }
}
