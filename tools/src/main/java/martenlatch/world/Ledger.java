package martenlatch.world;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what endpoints did with requests, also by request id, independently of what clients and sidecars report.
 * Thread-safe. Keeps a limited number of ids; requests beyond the limit are counted separately, so that no total is
 * silently too low.
 */
public final class Ledger {

    /** Notified of each event of a request, on the endpoint's event loop. */
    public interface Observer {
        /** Called when an endpoint begins to run a request; {@code cold} tells whether the endpoint is cold. */
        void ran(String endpoint, String id, boolean cold);

        /** Called when an endpoint rejects a request without running it. */
        void turnedAway(String endpoint, String id);

        /** Called when an endpoint writes a whole answer. */
        void answered(String endpoint, String id);
    }

    private static final Observer NO_OP = new Observer() {
        @Override
        public void ran(String endpoint, String id, boolean cold) {
            return;
        }

        @Override
        public void turnedAway(String endpoint, String id) {
            return;
        }

        @Override
        public void answered(String endpoint, String id) {
            return;
        }
    };

    private final int maxIds;
    private final Observer observer;
    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final LongAdder received = new LongAdder();
    private final LongAdder ran = new LongAdder();
    private final LongAdder turnedAway = new LongAdder();
    private final LongAdder answered = new LongAdder();
    private final LongAdder afterDrain = new LongAdder();
    private final LongAdder cold = new LongAdder();
    private final LongAdder unsafeAgain = new LongAdder();
    private final LongAdder unknown = new LongAdder();

    /** Creates an empty ledger that keeps at most {@code maxIds} ids. */
    public Ledger(int maxIds) {
        this(maxIds, NO_OP);
    }

    /** Creates an empty ledger that also notifies {@code observer} of each event. */
    public Ledger(int maxIds, Observer observer) {
        this.maxIds = maxIds;
        this.observer = observer;
    }

    void received() {
        received.increment();
    }

    void ran(String endpoint, String id, boolean unsafe, boolean isCold) {
        ran.increment();
        observer.ran(endpoint, id, isCold);
        if (runs.size() < maxIds || runs.containsKey(id)) {
            if (runs.merge(id, 1, Integer::sum) > 1 && unsafe) {
                unsafeAgain.increment();
            }
        } else {
            unknown.increment();
        }
    }

    void turnedAway(String endpoint, String id) {
        turnedAway.increment();
        observer.turnedAway(endpoint, id);
    }

    void answered(String endpoint, String id) {
        answered.increment();
        observer.answered(endpoint, id);
    }

    void afterDrain() {
        afterDrain.increment();
    }

    void cold() {
        cold.increment();
    }

    /** Returns the number of requests that were received whole. */
    public long receivedCount() {
        return received.sum();
    }

    /** Returns the number of requests that endpoints began to run, repeats included. */
    public long ranCount() {
        return ran.sum();
    }

    /** Returns the number of requests that were rejected with {@code X-Not-Run: 1}. */
    public long turnedAwayCount() {
        return turnedAway.sum();
    }

    /** Returns the number of whole answers that were written for requests that ran. */
    public long answeredCount() {
        return answered.sum();
    }

    /** Returns the number of requests that arrived at a draining endpoint after its grace period. */
    public long afterDrainCount() {
        return afterDrain.sum();
    }

    /** Returns the number of requests that ran on an endpoint while it was cold. */
    public long coldCount() {
        return cold.sum();
    }

    /**
     * Returns the number of requests that ran but whose ids were not kept because the ledger was full. If it is above
     * 0, {@link #runTwice} is a lower bound.
     */
    public long unknownCount() {
        return unknown.sum();
    }

    /** Returns the number of distinct ids that ran. */
    public int ids() {
        return runs.size();
    }

    /** Returns the number of ids that ran more than once. */
    public long runTwice() {
        return runs.values().stream().filter(count -> count > 1).count();
    }

    /**
     * Returns the number of runs of unsafe requests (POST without an idempotency key) beyond the first run of each id.
     * It must be 0.
     */
    public long unsafeAgainCount() {
        return unsafeAgain.sum();
    }

    /** Returns how often the request with this id ran. */
    public int runs(String id) {
        return runs.getOrDefault(id, 0);
    }

    @Override
    public String toString() {
        return "received " + receivedCount() + ", ran " + ranCount() + " (" + ids() + " ids, " + runTwice()
                + " of them twice or more, unsafe ones again: " + unsafeAgainCount()
                + (unknownCount() > 0 ? ", " + unknownCount() + " not kept by id" : "")
                + "), turned away " + turnedAwayCount() + ", answered " + answeredCount() + ", after a drain "
                + afterDrainCount() + ", on cold endpoints " + coldCount();
    }
}
