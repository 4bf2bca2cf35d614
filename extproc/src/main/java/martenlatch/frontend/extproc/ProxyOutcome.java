package martenlatch.frontend.extproc;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;

/**
 * The outcome of an attempt that a proxy made, by the status that it reports and by its response flags, which tell a
 * response of the endpoint from one that the proxy made itself. The flags and their meaning are those of Envoy's access
 * log ({@code %RESPONSE_FLAGS%}) and of its attribute {@code response.flags}.
 */
final class ProxyOutcome {

    /** The positions of the flags in the attribute's bits, as in Envoy's {@code CoreResponseFlag}. */
    private static final Map<String, Integer> BITS =
            Map.of("UH", 1, "UT", 2, "UF", 5, "UO", 7, "NR", 8, "DC", 14, "UMSDR", 19, "DT", 22, "NC", 24);
    /** Nothing has been sent: no endpoint, no connection, no room for one, no route, no cluster. */
    private static final long NEVER_SENT = bits("UH", "UF", "UO", "NR", "NC");

    private static final long TIMED_OUT = bits("UT", "UMSDR", "DT");
    private static final long CLIENT_DISCONNECTED = bits("DC");
    /** Any flag that is not distinguished here. */
    private static final long OTHER = 1L << 62;
    /** Whole numbers below this are exact in a protobuf number. */
    private static final double MAX_EXACT = 1L << 53;

    private ProxyOutcome() {}

    private static long bits(String... flags) {
        long bits = 0;
        for (String flag : flags) {
            bits |= 1L << BITS.get(flag);
        }
        return bits;
    }

    /** The flags as bits, from the words in {@code %RESPONSE_FLAGS%}: {@code UF,URX}, or a dash for none. */
    static long flags(String words) {
        long bits = 0;
        for (String word : words.split(",", -1)) {
            String flag = word.trim();
            if (!flag.isEmpty() && !flag.equals("-")) {
                bits |= BITS.containsKey(flag) ? 1L << BITS.get(flag) : OTHER;
            }
        }
        return bits;
    }

    /** The flags as bits, from the attribute's number; anything else counts as an unknown flag. */
    static long flags(double number) {
        return number >= 0 && number < MAX_EXACT && number == Math.rint(number) ? (long) number : OTHER;
    }

    /**
     * How the attempt ended. It was never executed only if all flags say that nothing was sent: flags add up over all
     * that a proxy has tried by itself.
     *
     * @param status the HTTP status that the proxy has for its client
     * @param notExecuted whether the response says that the request was never begun
     * @param flags 0 if the response is the endpoint's own
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

    /** The names of all flags that are distinguished, for stand-ins of a proxy. */
    static List<String> names() {
        return BITS.keySet().stream().sorted().toList();
    }
}
