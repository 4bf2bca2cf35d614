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
 * The events of one run, in the order in which they were recorded. Thread-safe. It holds a bounded number of events
 * and counts those beyond it; a run with dropped events is void.
 */
public final class History {

    private static final double NANOS_PER_MS = 1e6;

    private final LongSupplier clock;
    private final int maxEvents;
    private final List<Event> events = new ArrayList<>();
    private long startNanos;
    private long missing;

    /**
     * Creates an empty history whose time starts now.
     *
     * @param clock a monotonic clock in nanoseconds
     * @param maxEvents the number of events after which further events are dropped
     */
    public History(LongSupplier clock, int maxEvents) {
        this.clock = clock;
        this.maxEvents = maxEvents;
        startNanos = clock.getAsLong();
    }

    /** Sets time 0 to this reading of the clock; events recorded before it get negative times. */
    public synchronized void startAt(long nanos) {
        double shiftMs = (startNanos - nanos) / NANOS_PER_MS;
        startNanos = nanos;
        events.replaceAll(event ->
                new Event(event.atMs() + shiftMs, event.what(), event.who(), event.whom(), event.id(), event.detail()));
    }

    /** Returns the milliseconds since the start. */
    public synchronized double now() {
        return (clock.getAsLong() - startNanos) / NANOS_PER_MS;
    }

    /** Records an event at the current time, or counts it as dropped if the history is full. */
    public synchronized void record(What what, String who, String whom, String id, String detail) {
        if (events.size() >= maxEvents) {
            missing++;
            return;
        }
        events.add(new Event((clock.getAsLong() - startNanos) / NANOS_PER_MS, what, who, whom, id, detail));
    }

    /** Returns a copy of all events recorded so far, in the order in which they were recorded. */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /** Returns the SHA-256 of all events in their order, which identifies the history. */
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

    /** Returns how many events were dropped because the history was full. */
    public synchronized long missing() {
        return missing;
    }
}
