package martenlatch.load;

import java.util.Locale;

/**
 * A class of requests, as the load sends it.
 *
 * @param share its part of all arrivals, in proportion to the other shares
 * @param bodyBytes of the request; a repeatable one has none
 * @param deadlineMs how long its client waits
 * @param retries how often its client tries again, each time as a new request
 */
public record LoadClass(String name, double share, Effect effect, int bodyBytes, int deadlineMs, int retries) {

    /** What running a request twice does. */
    public enum Effect {
        /** Nothing: sent with GET. */
        REPEATABLE,
        /** Nothing, as long as it has the same key: sent with POST and {@code Idempotency-Key}. */
        KEYED,
        /** Harm: sent with POST. */
        UNSAFE;

        /** Reads its name in small letters; anything else is an exception that names field and value. */
        public static Effect parse(String text) {
            try {
                return valueOf(text.toUpperCase(Locale.ROOT));
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(
                        "effect must be repeatable, keyed or unsafe but is \"" + text + "\"", e);
            }
        }
    }

    /** Longer bodies are not taken by the protocol. */
    static final int MOST_BODY = 64 * 1024;

    private static final int MOST_DEADLINE_MS = 600_000;
    private static final int MOST_RETRIES = 100;

    public LoadClass {
        if (name.isEmpty() || !name.chars().allMatch(c -> c > ' ' && c < 127)) {
            throw new IllegalArgumentException("name must be printable ASCII but is \"" + name + "\"");
        }
        if (!(share > 0 && share <= 1e9)) {
            throw new IllegalArgumentException("share must be above 0 but is " + share);
        }
        within("body-bytes", bodyBytes, 0, MOST_BODY);
        within("deadline-ms", deadlineMs, 1, MOST_DEADLINE_MS);
        within("retries", retries, 0, MOST_RETRIES);
    }

    private static void within(String field, int value, int least, int most) {
        if (value < least || value > most) {
            throw new IllegalArgumentException(field + " must be " + least + " to " + most + " but is " + value);
        }
    }
}
