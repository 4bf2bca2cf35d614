package martenlatch.frontend.extproc;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;

/**
 * Derives the outcome of an attempt that a proxy made from the reported status and response flags. The flags
 * distinguish an endpoint's response from one that the proxy generated. They are those of Envoy's access log ({@code
 * %RESPONSE_FLAGS%}) and of its attribute {@code response.flags}.
 */
final class ProxyOutcome {

    /** The bit position of each flag in the attribute's number, as in Envoy's {@code CoreResponseFlag}. */
    private static final Map<String, Integer> BIT_POSITIONS =
            Map.of("UH", 1, "UT", 2, "UF", 5, "UO", 7, "NR", 8, "DC", 14, "UMSDR", 19, "DT", 22, "NC", 24);
    /** Nothing was sent: no healthy endpoint, connect failure, overflow, no route or no cluster. */
    private static final long NEVER_SENT = bits("UH", "UF", "UO", "NR", "NC");

    private static final long TIMED_OUT = bits("UT", "UMSDR", "DT");
    private static final long CLIENT_DISCONNECTED = bits("DC");
    /** Stands for any flag without an entry in {@link #BIT_POSITIONS}. */
    private static final long UNKNOWN_FLAG = 1L << 62;
    /** A protobuf number is a double, which represents whole numbers below this exactly. */
    private static final double MAX_EXACT_NUMBER = 1L << 53;

    private ProxyOutcome() {}

    private static long bits(String... flags) {
        long bits = 0;
        for (String flag : flags) {
            bits |= 1L << BIT_POSITIONS.get(flag);
        }
        return bits;
    }

    /** Returns the flags as bits, given the text of {@code %RESPONSE_FLAGS%}: {@code UF,URX}, or a dash for none. */
    static long flags(String text) {
        long bits = 0;
        for (String word : text.split(",", -1)) {
            String flag = word.trim();
            if (!flag.isEmpty() && !flag.equals("-")) {
                bits |= BIT_POSITIONS.containsKey(flag) ? 1L << BIT_POSITIONS.get(flag) : UNKNOWN_FLAG;
            }
        }
        return bits;
    }

    /**
     * Returns the flags as bits, given the attribute's number; a number that is no bit set counts as an unknown flag.
     */
    static long flags(double number) {
        return number >= 0 && number < MAX_EXACT_NUMBER && number == Math.rint(number) ? (long) number : UNKNOWN_FLAG;
    }

    /**
     * Returns the outcome of an attempt. It counts as never executed only if all flags say that nothing was sent,
     * because a proxy accumulates the flags of all its own retries.
     *
     * @param status the HTTP status that the proxy would send to its client
     * @param notExecuted whether the response says that execution of the request never began
     * @param flags 0 if the endpoint sent the response
     */
    static AttemptOutcome of(int status, boolean notExecuted, long flags) {
        if (flags == 0) {
            return EndpointResponse.outcome(status, notExecuted);
        }
        if ((flags & ~NEVER_SENT) == 0) {
            return AttemptOutcome.CONNECT_ERROR;
        }
        if ((flags & ~TIMED_OUT) == 0) {
            return AttemptOutcome.TIMED_OUT;
        }
        return (flags & CLIENT_DISCONNECTED) != 0 ? AttemptOutcome.CANCELED : AttemptOutcome.RESET;
    }

    /** Returns the names of all known flags, for proxies in tests. */
    static List<String> flagNames() {
        return BIT_POSITIONS.keySet().stream().sorted().toList();
    }
}
