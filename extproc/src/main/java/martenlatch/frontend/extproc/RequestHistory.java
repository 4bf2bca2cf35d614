package martenlatch.frontend.extproc;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;

/**
 * Tells what a stream's request is, by what is known of its id. The table holds every id that is in flight, and those
 * whose request may have executed and must not simply be repeated, for as long as a proxy may still come back with
 * them. It is bounded: while it is full, new requests are rejected, and nothing is forgotten early. No I/O, no clock;
 * times are milliseconds on the caller's clock.
 */
final class RequestHistory {

    /** The share of a deduplication window that is used: a proxy's clock of attempts and this one differ a little. */
    private static final double WINDOW_SHARE = 0.9;

    /** What a stream's request is. */
    enum Arrival {
        /** A request that is not known, is known not to have executed, or may be repeated. */
        NEW_REQUEST,
        /** The next attempt of a request in flight whose last one is over, lost, or given up by the proxy. */
        NEXT_ATTEMPT,
        /** A request that a proxy is sending right now. */
        IN_FLIGHT,
        /** A request that may have executed and must not be repeated: it has failed. */
        MAY_HAVE_EXECUTED,
        /** There is no room to remember it: it is rejected, as it was not executed. */
        TABLE_FULL
    }

    private enum Phase {
        /** A proxy has a decision, on a stream that exists. */
        DECIDED,
        /** A decision was written, and its stream ended without a result. */
        STREAM_LOST,
        /** The last attempt is over and the next one decided on; it waits for its stream. */
        OFFERED,
        /** The request is over and may have executed. */
        ENDED
    }

    private static final class Entry {
        final String id;
        Phase phase = Phase.DECIDED;
        /** The proxy's count of attempts on the latest stream; 0 if it told none. */
        int attempt;
        /** The earliest time at which it may have begun to execute; NaN if it surely has not. */
        double mayHaveExecutedMs = Double.NaN;

        double forgetMs;

        Entry(String id) {
            this.id = id;
        }
    }

    /** All attempts of an id up to this one are known not to have executed. */
    private record NeverExecuted(int attempt, double forgetMs) {}

    private final int maxIds;
    private final double rememberMs;
    private final Map<String, Entry> entries = new HashMap<>();
    /** Entries that have ended, in the order in which they will be forgotten. */
    private final Deque<Entry> ended = new ArrayDeque<>();
    /**
     * Requests that are over and surely not executed, the oldest first: a later attempt of one is not an unknown
     * request. If one is forgotten early, its next attempt fails and nothing worse: so the oldest make room.
     */
    private final LinkedHashMap<String, NeverExecuted> neverExecuted = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param maxIds how many ids it may hold, those in flight among them
     * @param rememberMs for how long after its end an id may still come back, in milliseconds
     */
    RequestHistory(int maxIds, double rememberMs) {
        this.maxIds = maxIds;
        this.rememberMs = rememberMs;
    }

    /**
     * A stream has brought a request. After {@link Arrival#NEW_REQUEST} and {@link Arrival#NEXT_ATTEMPT} the proxy that
     * asked has the request; after the others nothing has changed.
     *
     * @param attempt the proxy's count of attempts, from 1; 0 if it tells none
     * @param pending whether the request tracker still has a request of this id
     */
    Arrival onArrival(double nowMs, String id, RequestClass requestClass, int attempt, boolean pending) {
        forgetOld(nowMs);
        Entry known = entries.get(id);
        if (known != null && known.phase != Phase.ENDED) {
            return onNextStream(known, attempt);
        }
        double executedMs = earliestExecution(nowMs, id, requestClass, attempt, known);
        if (!Double.isNaN(executedMs) && !mayRepeat(nowMs, requestClass, executedMs)) {
            return Arrival.MAY_HAVE_EXECUTED;
        }
        if (pending) {
            return Arrival.IN_FLIGHT;
        }
        boolean isFull = (known == null && entries.size() >= maxIds) || ended.size() >= maxIds;
        if (isFull) {
            onNeverExecuted(nowMs, id, requestClass, attempt);
            return Arrival.TABLE_FULL;
        }
        Entry fresh = new Entry(id);
        fresh.attempt = attempt;
        fresh.mayHaveExecutedMs = executedMs;
        entries.put(id, fresh);
        neverExecuted.remove(id);
        return Arrival.NEW_REQUEST;
    }

    /** The earliest time at which an earlier attempt may have executed, or NaN if none has. */
    private double earliestExecution(double nowMs, String id, RequestClass requestClass, int attempt, Entry known) {
        if (known != null) {
            return known.mayHaveExecutedMs;
        }
        return isNeverExecuted(id, attempt - 1) ? Double.NaN : nowMs - requestClass.deadlineMs();
    }

    /** A stream for a request that is in flight. */
    private static Arrival onNextStream(Entry entry, int attempt) {
        // A higher count tells that the proxy has given up the earlier attempt, although its stream exists.
        boolean isHigher = entry.attempt != 0 && attempt > entry.attempt;
        if (entry.phase == Phase.DECIDED && !isHigher) {
            return Arrival.IN_FLIGHT;
        }
        entry.phase = Phase.DECIDED;
        entry.attempt = Math.max(entry.attempt, attempt);
        return Arrival.NEXT_ATTEMPT;
    }

    /**
     * Whether all attempts up to one are known not to have executed. One that is not known was decided on by a process
     * that has ended, or so long ago that it is forgotten; no earlier than its client can have waited.
     */
    private boolean isNeverExecuted(String id, int upTo) {
        NeverExecuted known = neverExecuted.get(id);
        return upTo <= 0 || (known != null && known.attempt() >= upTo);
    }

    /** A stream got no decision: the attempt that it was for has not executed. */
    void onNeverExecuted(double nowMs, String id, RequestClass requestClass, int attempt) {
        boolean mayRepeatAnyway = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        if (mayRepeatAnyway || entries.containsKey(id) || !isNeverExecuted(id, attempt - 1)) {
            return;
        }
        NeverExecuted before = neverExecuted.remove(id);
        if (neverExecuted.size() >= maxIds) {
            neverExecuted.remove(neverExecuted.keySet().iterator().next());
        }
        int upTo = before == null ? attempt : Math.max(before.attempt(), attempt);
        neverExecuted.put(id, new NeverExecuted(upTo, nowMs + rememberMs));
    }

    /** Whether a request that may have executed may go anywhere; where it executed is not known here any more. */
    private static boolean mayRepeat(double nowMs, RequestClass requestClass, double executedMs) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL
                && nowMs - executedMs < requestClass.deduplicationWindowMs() * WINDOW_SHARE;
    }

    /** The next attempt is decided on and waits for its stream. */
    void onOffered(String id) {
        setPhase(id, Phase.OFFERED);
    }

    /** The stream that had a decision has ended, and nothing is known of its result. */
    void onStreamLost(String id) {
        setPhase(id, Phase.STREAM_LOST);
    }

    private void setPhase(String id, Phase phase) {
        Entry entry = entries.get(id);
        if (entry != null && entry.phase != Phase.ENDED) {
            entry.phase = phase;
        }
    }

    /**
     * A request is over, with its final answer or without.
     *
     * @param mayHaveExecutedMs the earliest time at which it may have begun to execute; NaN if it surely has not
     */
    void onEnded(double nowMs, String id, RequestClass requestClass, double mayHaveExecutedMs) {
        forgetOld(nowMs);
        Entry entry = entries.get(id);
        if (entry == null || entry.phase == Phase.ENDED) {
            return;
        }
        // An earlier request of this id may have executed as well: the first of all binds.
        if (Double.isNaN(entry.mayHaveExecutedMs) || mayHaveExecutedMs < entry.mayHaveExecutedMs) {
            entry.mayHaveExecutedMs = mayHaveExecutedMs;
        }
        boolean mayBeForgotten =
                requestClass.idempotency() == Idempotency.IDEMPOTENT || Double.isNaN(entry.mayHaveExecutedMs);
        if (mayBeForgotten) {
            entries.remove(id);
            onNeverExecuted(nowMs, id, requestClass, entry.attempt);
            return;
        }
        entry.phase = Phase.ENDED;
        entry.forgetMs = nowMs + rememberMs;
        ended.addLast(entry);
    }

    /** Forgets the requests that no proxy comes back with any more. */
    void forgetOld(double nowMs) {
        while (!ended.isEmpty() && ended.peekFirst().forgetMs <= nowMs) {
            Entry old = ended.pollFirst();
            // One that was repeated within its window has another entry by now.
            entries.remove(old.id, old);
        }
        Iterator<NeverExecuted> oldest = neverExecuted.values().iterator();
        while (oldest.hasNext() && oldest.next().forgetMs() <= nowMs) {
            oldest.remove();
        }
    }

    /** The number of ids in the table. */
    int size() {
        return entries.size() + neverExecuted.size();
    }
}
