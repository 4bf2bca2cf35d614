package martenlatch.request;

import java.util.function.LongSupplier;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;

/**
 * Remembers the ids of requests that may have been executed and must not simply be executed again, so that an id that
 * arrives once more does no harm: after its client has disconnected, on another connection, and at the other process of
 * an upgrade, which shares the table of ids. An id is claimed before its first attempt and released if it turns out
 * that none of its attempts was executed.
 *
 * <p>While the table has no room for an id, its request is not accepted: no id is forgotten early.
 */
public final class ExecutionHistory {

    /** How long an id is remembered whose client got no answer; longer than clients retry and endpoints hang. */
    private static final long UNANSWERED_RETENTION_MS = 60_000;
    /** How long an id is remembered whose client got its answer and has no reason to repeat it. */
    private static final long ANSWERED_RETENTION_MS = 20_000;
    /** An id with an idempotency key is remembered for this multiple of the deduplication window at least. */
    private static final long RETENTION_WINDOWS = 2;
    /** The part of a deduplication window that is used; the rest is for the way to the endpoint. */
    private static final double WINDOW_SHARE = 0.9;

    /** The result of a claim. */
    enum Claim {
        /** The request may be executed, as far as is known for the first time. */
        FIRST,
        /** The request may have been executed, and endpoints drop the repeat. */
        REPEAT,
        /** The request may have been executed and must not be executed again. */
        MAY_HAVE_EXECUTED,
        /** There is no room to remember the request. */
        NO_ROOM
    }

    /**
     * An answer to the question whether a request may be accepted.
     *
     * @param claim the answer
     * @param ageMs how long ago the id was first claimed, in milliseconds; 0 if it is new
     */
    record ClaimResult(Claim claim, double ageMs) {}

    private final ExecutedIdTable ids;
    private final LongSupplier clockMs;

    /**
     * Creates a history.
     *
     * @param ids the table, which another process may share
     * @param clockMs a monotonic clock in milliseconds, which must be the same for all processes that share the table
     */
    public ExecutionHistory(ExecutedIdTable ids, LongSupplier clockMs) {
        this.ids = ids;
        this.clockMs = clockMs;
    }

    /** Claims an id before its request is accepted. */
    ClaimResult claim(String id, RequestClass requestClass) {
        if (!mustBeRemembered(requestClass)) {
            return new ClaimResult(Claim.FIRST, 0);
        }
        long nowMs = clockMs.getAsLong();
        long retentionMs = retentionMs(requestClass);
        Long expiryMs = ids.putIfAbsent(id, nowMs, nowMs + retentionMs);
        if (expiryMs == null) {
            return new ClaimResult(Claim.NO_ROOM, 0);
        }
        if (expiryMs == ExecutedIdTable.ABSENT) {
            return new ClaimResult(Claim.FIRST, 0);
        }
        double ageMs = (double) (nowMs - (expiryMs - retentionMs));
        Claim claim = isDroppedByEndpoints(requestClass, ageMs) ? Claim.REPEAT : Claim.MAY_HAVE_EXECUTED;
        return new ClaimResult(claim, ageMs);
    }

    /** Renews a claim when the last byte of a request has arrived, as no attempt was executed before. */
    void renew(String id, RequestClass requestClass) {
        if (mustBeRemembered(requestClass)) {
            long nowMs = clockMs.getAsLong();
            ids.setExpiry(id, nowMs, nowMs + retentionMs(requestClass));
        }
    }

    /** Releases the claim of a request that was not executed; its id may come again. */
    void release(String id, RequestClass requestClass) {
        if (mustBeRemembered(requestClass)) {
            ids.remove(id, clockMs.getAsLong());
        }
    }

    /** Called when the client of a request that may have been executed has got its answer. */
    void onAnswered(String id, RequestClass requestClass) {
        // The expiry of an id with a key also tells when its window began, so it stays.
        if (requestClass.mustNotRepeat()) {
            long nowMs = clockMs.getAsLong();
            ids.setExpiry(id, nowMs, nowMs + ANSWERED_RETENTION_MS);
        }
    }

    private static boolean mustBeRemembered(RequestClass requestClass) {
        return requestClass.idempotency() != Idempotency.IDEMPOTENT;
    }

    private static long retentionMs(RequestClass requestClass) {
        long windowMs = requestClass.usesIdempotencyKey() ? (long) Math.ceil(requestClass.deduplicationWindowMs()) : 0;
        long wantedMs = Math.max(UNANSWERED_RETENTION_MS, RETENTION_WINDOWS * windowMs);
        return Math.min(wantedMs, ExecutedIdTable.MAX_RETENTION_MS);
    }

    /** Returns whether all endpoints still drop a repeat of a request that was first executed this long ago. */
    private static boolean isDroppedByEndpoints(RequestClass requestClass, double ageMs) {
        return requestClass.usesIdempotencyKey()
                && requestClass.deduplicationScope() == DeduplicationScope.ALL
                && ageMs < requestClass.deduplicationWindowMs() * WINDOW_SHARE;
    }
}
