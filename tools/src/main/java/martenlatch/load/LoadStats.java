package martenlatch.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Counts and latencies of the arrivals of one class, or of all classes. Latencies are measured from the intended time.
 * The accessor {@link #wishes} and the printed reports name arrivals "wishes" or "sent".
 */
public final class LoadStats {

    private static final long MAX_LATENCY_US = 3_600_000_000L;

    private long wishes;
    private long requests;
    private long open;
    private final Map<RequestOutcome, Long> outcomes = new EnumMap<>(RequestOutcome.class);
    private final Map<String, Long> causes = new TreeMap<>();
    private final Histogram served = new Histogram(MAX_LATENCY_US, 3);
    private final Histogram all = new Histogram(MAX_LATENCY_US, 3);

    void recordArrival() {
        wishes++;
    }

    void recordRequest() {
        requests++;
    }

    /** Records the outcome of an arrival; one without an answer is recorded with the time until it was given up. */
    void recordOutcome(RequestOutcome outcome, String cause, long latencyNanos) {
        outcomes.merge(outcome, 1L, Long::sum);
        if (outcome != RequestOutcome.SERVED) {
            causes.merge(cause, 1L, Long::sum);
        }
        long latencyMicros = Math.min(MAX_LATENCY_US, Math.max(0, latencyNanos / 1000));
        all.recordValue(latencyMicros);
        if (outcome == RequestOutcome.SERVED) {
            served.recordValue(latencyMicros);
        }
    }

    /** Adds the counts and latencies of {@code other}. */
    void add(LoadStats other) {
        wishes += other.wishes;
        requests += other.requests;
        open += other.open;
        other.outcomes.forEach((outcome, count) -> outcomes.merge(outcome, count, Long::sum));
        other.causes.forEach((cause, count) -> causes.merge(cause, count, Long::sum));
        served.add(other.served);
        all.add(other.all);
    }

    /** Sets the number of arrivals without an outcome. */
    void open(long count) {
        open = count;
    }

    /** Returns the number of arrivals without an outcome at the last check, counted from the set of open arrivals. */
    public long open() {
        return open;
    }

    /** Returns the number of arrivals that were begun. */
    public long wishes() {
        return wishes;
    }

    /** Returns the number of requests sent for the arrivals, retries included. */
    public long requests() {
        return requests;
    }

    /** Returns the number of arrivals with this outcome. */
    public long count(RequestOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0L);
    }

    /** Returns the number of arrivals with any outcome. */
    public long ended() {
        return outcomes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the number of arrivals that were not served, by cause; causes come from a closed list. */
    public Map<String, Long> causes() {
        return causes;
    }

    /** Returns the latencies of served arrivals, in microseconds. */
    public Histogram served() {
        return served;
    }

    /**
     * Returns the latencies of all arrivals, in microseconds; those without an answer count until they were given up.
     */
    public Histogram all() {
        return all;
    }
}
