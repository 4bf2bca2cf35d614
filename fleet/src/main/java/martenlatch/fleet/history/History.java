package martenlatch.fleet.history;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.function.LongSupplier;
import martenlatch.fleet.history.Event.What;

/**
 * The events of one run, in the order in which they were told. Any thread may tell. It holds a bounded
 * number: what comes beyond is counted, and a history with any of that missing is of no use to a judge.
 */
public final class History {

    private static final double NANOS_IN_MS = 1e6;

    private final LongSupplier clock;
    private final int most;
    private final List<Event> events = new ArrayList<>();
    private long start;
    private long missing;

    /**
     * An empty history whose time starts now.
     *
     * @param clock nanoseconds, monotonic
     */
    public History(LongSupplier clock, int most) {
        this.clock = clock;
        this.most = most;
        start = clock.getAsLong();
    }

    /** Time 0 is at this reading of the clock; what was told before it gets a time below 0. */
    public synchronized void startAt(long nanos) {
        double shift = (start - nanos) / NANOS_IN_MS;
        start = nanos;
        events.replaceAll(
                one -> new Event(one.atMs() + shift, one.what(), one.who(), one.whom(), one.id(), one.detail()));
    }

    /** Milliseconds since the start. */
    public synchronized double now() {
        return (clock.getAsLong() - start) / NANOS_IN_MS;
    }

    /** Something has happened just now. */
    public synchronized void record(What what, String who, String whom, String id, String detail) {
        if (events.size() >= most) {
            missing++;
            return;
        }
        events.add(new Event((clock.getAsLong() - start) / NANOS_IN_MS, what, who, whom, id, detail));
    }

    /** All so far, in order of their times. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** What tells this history from any other: the SHA-256 of all its events, in their order. */
    public synchronized String digest() {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (Event event : events) {
                digest.update(event.toString().getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** How many there was no room for. */
    public synchronized long missing() {
        return missing;
    }
}
