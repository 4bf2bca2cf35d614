package martenlatch.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** What was counted of one class of wishes, or of all. Latencies count from the intended time. */
public final class Figures {

    private static final long LONGEST_US = 3_600_000_000L;

    private long wishes;
    private long requests;
    private long open;
    private final Map<RequestOutcome, Long> ends = new EnumMap<>(RequestOutcome.class);
    private final Map<String, Long> causes = new TreeMap<>();
    private final Histogram served = new Histogram(LONGEST_US, 3);
    private final Histogram all = new Histogram(LONGEST_US, 3);

    void wish() {
        wishes++;
    }

    void request() {
        requests++;
    }

    /** A wish has ended; those with no answer count as well, with the time after which they were given up. */
    void ended(RequestOutcome end, String cause, long nanos) {
        ends.merge(end, 1L, Long::sum);
        if (end != RequestOutcome.SERVED) {
            causes.merge(cause, 1L, Long::sum);
        }
        long micros = Math.min(LONGEST_US, Math.max(0, nanos / 1000));
        all.recordValue(micros);
        if (end == RequestOutcome.SERVED) {
            served.recordValue(micros);
        }
    }

    void add(Figures other) {
        wishes += other.wishes;
        requests += other.requests;
        open += other.open;
        other.ends.forEach((end, count) -> ends.merge(end, count, Long::sum));
        other.causes.forEach((cause, count) -> causes.merge(cause, count, Long::sum));
        served.add(other.served);
        all.add(other.all);
    }

    void open(long count) {
        open = count;
    }

    /** Wishes that had not ended when it was looked at, as counted from what stood open. */
    public long open() {
        return open;
    }

    /** Wishes whose time has come. */
    public long wishes() {
        return wishes;
    }

    /** Requests made for them, those again among them. */
    public long requests() {
        return requests;
    }

    /** How many wishes ended so. */
    public long count(RequestOutcome end) {
        return ends.getOrDefault(end, 0L);
    }

    /** How many ended, in whatever way. */
    public long ended() {
        return ends.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Why those that were not served were not, by words from a closed list. */
    public Map<String, Long> causes() {
        return causes;
    }

    /** Times of those that were served, in microseconds. */
    public Histogram served() {
        return served;
    }

    /** Times of all, in microseconds; of those with no answer until they were given up. */
    public Histogram all() {
        return all;
    }
}
