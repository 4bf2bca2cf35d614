package martenlatch.front.extproc;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;

/**
 * What a consultation is, given what is known of its request's id. It holds every id that is open, and those
 * whose request may have run and must not simply run again, for as long as a proxy may still come back with
 * them. Bounded: when it is full, what is new is turned away; nothing is forgotten early. No I/O, no clock;
 * times are milliseconds on the caller's clock.
 */
final class Consultations {

    /** A proxy's clock of attempts and ours differ by the way between: the last of a window is not used. */
    private static final double WINDOW_SHARE = 0.9;

    /** What a consultation is. */
    enum Kind {
        /** A request that is not known, or is known not to have run, or may run again. */
        FIRST,
        /** The next attempt of an open request whose last one is over, lost, or given up by the proxy. */
        NEXT,
        /** Its request is with a proxy right now. */
        IN_HAND,
        /** Its request may have run, and may not run again: it has failed. */
        MAY_HAVE_RUN,
        /** There is no room to remember it: it is refused, as it has not run. */
        FULL
    }

    private enum Phase {
        /** A decision is with a proxy, on a stream that stands. */
        OUT,
        /** A decision was written, and its stream ended with no word on what came of it. */
        LOST,
        /** The last attempt is over and the next one decided on; it waits for its consultation. */
        OFFERED,
        /** The request is over and may have run. */
        ENDED
    }

    private static final class Entry {
        final String id;
        Phase phase = Phase.OUT;
        /** The proxy's count of attempts with the latest consultation; 0 if it told none. */
        int attempt;
        /** The earliest time at which it may have begun to run; NaN if it surely has not. */
        double mayHaveRunAt = Double.NaN;

        double forgetAt;

        Entry(String id) {
            this.id = id;
        }
    }

    /** All of an id's attempts up to this one are known not to have run. */
    private record Unrun(int attempt, double forgetAt) {}

    private final int most;
    private final double rememberMs;
    private final Map<String, Entry> entries = new HashMap<>();
    /** Those that are over, in the order in which they will be forgotten. */
    private final Deque<Entry> ended = new ArrayDeque<>();
    /**
     * What is over and has surely not run, the oldest first: a later attempt of it is no attempt unheard of.
     * Forgetting one early does no harm but that its next attempt fails, so the oldest make room.
     */
    private final LinkedHashMap<String, Unrun> unrun = new LinkedHashMap<>();

    /**
     * A table that knows nothing.
     *
     * @param most how many ids it may hold, open ones among them
     * @param rememberMs for how long after its end an id may still come back
     */
    Consultations(int most, double rememberMs) {
        this.most = most;
        this.rememberMs = rememberMs;
    }

    /**
     * A consultation has come. After {@link Kind#FIRST} and {@link Kind#NEXT} its request is with the proxy
     * that asked; after the others nothing has changed.
     *
     * @param attempt the proxy's count of attempts, from 1; 0 if it tells none
     * @param hosted whether the host still has a request of this id in hand
     */
    Kind arrive(double now, String id, RequestClass kind, int attempt, boolean hosted) {
        forgetOld(now);
        Entry known = entries.get(id);
        if (known != null && known.phase != Phase.ENDED) {
            return again(known, attempt);
        }
        double ranAt =
                known != null ? known.mayHaveRunAt : isUnrun(id, attempt - 1) ? Double.NaN : now - kind.deadlineMs();
        if (!Double.isNaN(ranAt) && !mayRunAgain(now, kind, ranAt)) {
            return Kind.MAY_HAVE_RUN;
        }
        if (hosted) {
            return Kind.IN_HAND;
        }
        if (known == null && entries.size() >= most || ended.size() >= most) {
            neverRan(now, id, kind, attempt);
            return Kind.FULL;
        }
        Entry fresh = new Entry(id);
        fresh.attempt = attempt;
        fresh.mayHaveRunAt = ranAt;
        entries.put(id, fresh);
        unrun.remove(id);
        return Kind.FIRST;
    }

    /** A consultation for a request that is open. */
    private static Kind again(Entry open, int attempt) {
        // A higher count tells that the proxy has given up the earlier attempt, though its stream stands.
        if (open.phase == Phase.OUT && (open.attempt == 0 || attempt <= open.attempt)) {
            return Kind.IN_HAND;
        }
        open.phase = Phase.OUT;
        open.attempt = Math.max(open.attempt, attempt);
        return Kind.NEXT;
    }

    /**
     * Whether all attempts up to one are known not to have run. One that is not was decided on by a program
     * that is gone, or so long ago that it is forgotten; no earlier than its client can have waited.
     */
    private boolean isUnrun(String id, int upTo) {
        Unrun known = unrun.get(id);
        return upTo <= 0 || known != null && known.attempt() >= upTo;
    }

    /** A consultation got no decision: the attempt that it was for has not run. */
    void neverRan(double now, String id, RequestClass kind, int attempt) {
        if (kind.idempotency() == Idempotency.IDEMPOTENT || entries.containsKey(id) || !isUnrun(id, attempt - 1)) {
            return;
        }
        Unrun before = unrun.remove(id);
        if (unrun.size() >= most) {
            unrun.remove(unrun.keySet().iterator().next());
        }
        unrun.put(id, new Unrun(before == null ? attempt : Math.max(before.attempt(), attempt), now + rememberMs));
    }

    /** Whether a request that may have run may go anywhere; where it ran is not known here any more. */
    private static boolean mayRunAgain(double now, RequestClass kind, double ranAt) {
        return kind.idempotency() == Idempotency.IDEMPOTENT
                || kind.idempotency() == Idempotency.IDEMPOTENCY_KEY
                        && kind.deduplicationScope() == DeduplicationScope.ALL
                        && now - ranAt < kind.deduplicationWindowMs() * WINDOW_SHARE;
    }

    /** The next attempt is decided on and waits for its consultation. */
    void offered(String id) {
        move(id, Phase.OFFERED);
    }

    /** The stream that had a decision has ended, and nothing is known of what came of it. */
    void lost(String id) {
        move(id, Phase.LOST);
    }

    private void move(String id, Phase phase) {
        Entry entry = entries.get(id);
        if (entry != null && entry.phase != Phase.ENDED) {
            entry.phase = phase;
        }
    }

    /**
     * A request is over, with its final answer or without.
     *
     * @param mayHaveRunAt the earliest time at which it may have begun to run; NaN if it surely has not
     */
    void ended(double now, String id, RequestClass kind, double mayHaveRunAt) {
        forgetOld(now);
        Entry entry = entries.get(id);
        if (entry == null || entry.phase == Phase.ENDED) {
            return;
        }
        // An earlier request of this id may have run as well: the first of all binds.
        if (Double.isNaN(entry.mayHaveRunAt) || mayHaveRunAt < entry.mayHaveRunAt) {
            entry.mayHaveRunAt = mayHaveRunAt;
        }
        if (kind.idempotency() == Idempotency.IDEMPOTENT || Double.isNaN(entry.mayHaveRunAt)) {
            entries.remove(id);
            neverRan(now, id, kind, entry.attempt);
            return;
        }
        entry.phase = Phase.ENDED;
        entry.forgetAt = now + rememberMs;
        ended.addLast(entry);
    }

    /** Forgets what no proxy comes back with any more. */
    void forgetOld(double now) {
        while (!ended.isEmpty() && ended.peekFirst().forgetAt <= now) {
            Entry old = ended.pollFirst();
            // One that ran again within its window stands there anew.
            entries.remove(old.id, old);
        }
        for (var oldest = unrun.values().iterator();
                oldest.hasNext() && oldest.next().forgetAt() <= now; ) {
            oldest.remove();
        }
    }

    /** How many ids it holds. */
    int size() {
        return entries.size() + unrun.size();
    }
}
