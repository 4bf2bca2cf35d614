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
 * Classifies a stream's request by the history of its id. The table holds all ids in flight, and those whose request
 * may have executed and must not simply be repeated, for as long as a proxy may still retry them. Its size is bounded:
 * while it is full, new requests are rejected, and none of these ids is forgotten early. It does no I/O and reads no
 * clock; times are milliseconds on the caller's clock.
 */
final class RequestHistory {

    /**
     * Only this share of a deduplication window is used, because the proxy and this process time an attempt slightly
     * differently.
     */
    private static final double WINDOW_SHARE = 0.9;

    /** The classification of a stream's request. */
    enum Arrival {
        /** The request is unknown, is known not to have executed, or may be repeated. */
        NEW_REQUEST,
        /**
         * The next attempt of a request in flight whose latest attempt has ended, is lost, or was given up by the
         * proxy.
         */
        NEXT_ATTEMPT,
        /** Another stream is open for this request, or the request tracker still has a request of this id. */
        IN_FLIGHT,
        /** The request may have executed and must not be repeated, so it fails. */
        MAY_HAVE_EXECUTED,
        /** The table is full: the request is rejected without having executed. */
        TABLE_FULL
    }

    private enum Phase {
        /** A stream is open for it, which has a decision or waits for one. */
        DECIDED,
        /** The stream with the decision ended without a result. */
        STREAM_LOST,
        /** The latest attempt has ended; the next one is decided on and waits for its stream. */
        OFFERED,
        /** The request has ended and may have executed. */
        ENDED
    }

    private static final class Entry {
        final String id;
        Phase phase = Phase.DECIDED;
        /** The highest attempt count that the proxy has sent; 0 if it sent none. */
        int attempt;
        /** The earliest time at which it may have begun to execute; NaN if it certainly has not. */
        double mayHaveExecutedMs = Double.NaN;

        double forgetMs;

        Entry(String id) {
            this.id = id;
        }
    }

    /** Records that all attempts of an id up to this one are known not to have executed. */
    private record NeverExecuted(int attempt, double forgetMs) {}

    private final int maxIds;
    private final double rememberMs;
    private final Map<String, Entry> entries = new HashMap<>();
    /** Entries of ended requests, in the order in which they will be forgotten. */
    private final Deque<Entry> ended = new ArrayDeque<>();
    /**
     * Requests that have ended and certainly not executed, oldest first, so that a later attempt of one is not taken
     * for an unknown request. When it is full the oldest is evicted: its next attempt merely fails.
     */
    private final LinkedHashMap<String, NeverExecuted> neverExecuted = new LinkedHashMap<>();

    /**
     * Creates an empty table.
     *
     * @param maxIds the maximum number of ids, including those in flight
     * @param rememberMs how long an id is remembered after its request has ended
     */
    RequestHistory(int maxIds, double rememberMs) {
        this.maxIds = maxIds;
        this.rememberMs = rememberMs;
    }

    /**
     * Called when a stream has received a request. With {@link Arrival#NEW_REQUEST} and {@link Arrival#NEXT_ATTEMPT}
     * the request is now recorded as belonging to that stream; with the others it is not.
     *
     * @param attempt the proxy's attempt count, from 1; 0 if it sends none
     * @param pending whether the request tracker still has a request of this id
     */
    Arrival onArrival(double nowMs, String id, RequestClass requestClass, int attempt, boolean pending) {
        forgetOld(nowMs);
        Entry known = entries.get(id);
        if (known != null && known.phase != Phase.ENDED) {
            return onNextStream(known, attempt);
        }
        double earliestExecutionMs = earliestExecution(nowMs, id, requestClass, attempt, known);
        if (!Double.isNaN(earliestExecutionMs) && !mayRepeat(nowMs, requestClass, earliestExecutionMs)) {
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
        Entry added = new Entry(id);
        added.attempt = attempt;
        added.mayHaveExecutedMs = earliestExecutionMs;
        entries.put(id, added);
        neverExecuted.remove(id);
        return Arrival.NEW_REQUEST;
    }

    /** Returns the earliest time at which an earlier attempt may have executed, or NaN if none has. */
    private double earliestExecution(double nowMs, String id, RequestClass requestClass, int attempt, Entry known) {
        if (known != null) {
            return known.mayHaveExecutedMs;
        }
        return isNeverExecuted(id, attempt - 1) ? Double.NaN : nowMs - requestClass.deadlineMs();
    }

    /** Classifies a stream for a request that is in flight. */
    private static Arrival onNextStream(Entry entry, int attempt) {
        // A higher count means that the proxy has given up the earlier attempt, although its stream is still open.
        boolean isHigher = entry.attempt != 0 && attempt > entry.attempt;
        if (entry.phase == Phase.DECIDED && !isHigher) {
            return Arrival.IN_FLIGHT;
        }
        entry.phase = Phase.DECIDED;
        entry.attempt = Math.max(entry.attempt, attempt);
        return Arrival.NEXT_ATTEMPT;
    }

    /**
     * Returns whether all attempts up to one are known not to have executed. An unknown attempt was decided on by an
     * earlier process, or so long ago that it is forgotten. Its start is assumed to be one class deadline ago, because
     * no client waits longer.
     */
    private boolean isNeverExecuted(String id, int upTo) {
        NeverExecuted known = neverExecuted.get(id);
        return upTo <= 0 || (known != null && known.attempt() >= upTo);
    }

    /** Called when a stream received no decision, so that its attempt has not executed. */
    void onNeverExecuted(double nowMs, String id, RequestClass requestClass, int attempt) {
        boolean mayRepeatAnyway = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        if (mayRepeatAnyway || entries.containsKey(id) || !isNeverExecuted(id, attempt - 1)) {
            return;
        }
        NeverExecuted previous = neverExecuted.remove(id);
        if (neverExecuted.size() >= maxIds) {
            neverExecuted.remove(neverExecuted.keySet().iterator().next());
        }
        int upTo = previous == null ? attempt : Math.max(previous.attempt(), attempt);
        neverExecuted.put(id, new NeverExecuted(upTo, nowMs + rememberMs));
    }

    /** Returns whether a request that may have executed may be sent to any endpoint; where it executed is unknown. */
    private static boolean mayRepeat(double nowMs, RequestClass requestClass, double earliestExecutionMs) {
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL
                && nowMs - earliestExecutionMs < requestClass.deduplicationWindowMs() * WINDOW_SHARE;
    }

    /** Called when the next attempt is decided on and waits for its stream. */
    void onOffered(String id) {
        setPhase(id, Phase.OFFERED);
    }

    /** Called when the stream that had a decision has ended without a result. */
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
     * Called when a request has ended, with a final answer or without one.
     *
     * @param mayHaveExecutedMs the earliest time at which it may have begun to execute; NaN if it certainly has not
     */
    void onEnded(double nowMs, String id, RequestClass requestClass, double mayHaveExecutedMs) {
        forgetOld(nowMs);
        Entry entry = entries.get(id);
        if (entry == null || entry.phase == Phase.ENDED) {
            return;
        }
        // An earlier request of this id may have executed as well; the earliest time counts.
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

    /** Forgets the requests that proxies no longer retry. */
    void forgetOld(double nowMs) {
        while (!ended.isEmpty() && ended.peekFirst().forgetMs <= nowMs) {
            Entry old = ended.pollFirst();
            // A request that was repeated within its deduplication window has a newer entry, which must stay.
            entries.remove(old.id, old);
        }
        Iterator<NeverExecuted> oldest = neverExecuted.values().iterator();
        while (oldest.hasNext() && oldest.next().forgetMs() <= nowMs) {
            oldest.remove();
        }
    }

    /** Returns the number of ids in the table. */
    int size() {
        return entries.size() + neverExecuted.size();
    }
}
