package martenlatch.front.extproc;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;

/**
 * What became of an attempt that a proxy made, by the status that it reports and by its response flags: they
 * tell an answer of the endpoint's from one that the proxy made itself. Flags and their meaning are those of
 * Envoy's access log ({@code %RESPONSE_FLAGS%}) and of its attribute {@code response.flags}.
 */
final class ProxyOutcome {

    /** The places of the flags in the attribute's bits, as its {@code CoreResponseFlag} counts them. */
    private static final Map<String, Integer> BITS =
            Map.of("UH", 1, "UT", 2, "UF", 5, "UO", 7, "NR", 8, "DC", 14, "UMSDR", 19, "DT", 22, "NC", 24);
    /** Nothing has been sent: no endpoint, no connection, no room for one, no route, no cluster. */
    private static final long NEVER_SENT = bits("UH", "UF", "UO", "NR", "NC");

    private static final long TIMED_OUT = bits("UT", "UMSDR", "DT");
    private static final long CLIENT_GONE = bits("DC");
    /** Stands for every flag that is not told apart here. */
    private static final long OTHER = 1L << 62;
    /** The largest whole number that a protobuf number surely keeps. */
    private static final double MOST_BITS = 1L << 53;

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
        for (String word : words.split(",")) {
            String flag = word.trim();
            if (!flag.isEmpty() && !flag.equals("-")) {
                bits |= BITS.containsKey(flag) ? 1L << BITS.get(flag) : OTHER;
            }
        }
        return bits;
    }

    /** The flags as bits, from the attribute's number; what is no such number counts as a flag unknown. */
    static long flags(double number) {
        return number >= 0 && number < MOST_BITS && number == Math.rint(number) ? (long) number : OTHER;
    }

    /**
     * How the attempt ended. Only where all flags say that nothing was sent has it never run: flags add up
     * over all that a proxy has tried by itself.
     *
     * @param status the HTTP status that the proxy has for its client
     * @param notRun whether the answer says that the request was never begun
     * @param flags 0 if the answer is the endpoint's own
     */
    static AttemptOutcome of(int status, boolean notRun, long flags) {
        if (flags != 0) {
            return (flags & ~NEVER_SENT) == 0
                    ? AttemptOutcome.CONNECT_ERROR
                    : (flags & ~TIMED_OUT) == 0
                            ? AttemptOutcome.TIMED_OUT
                            : (flags & CLIENT_GONE) != 0 ? AttemptOutcome.CANCELED : AttemptOutcome.RESET;
        }
        return EndpointResponse.outcome(status, notRun);
    }

    /** All flags that are told apart, for those that stand in for a proxy. */
    static List<String> known() {
        return BITS.keySet().stream().sorted().toList();
    }
}
