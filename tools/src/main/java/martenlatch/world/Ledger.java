package martenlatch.world;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * What endpoints have seen of each request, by its id: the tally from outside. Any thread may add to it. It
 * holds a bounded number of ids; what comes beyond is counted apart, so that a sum is never silently short.
 */
public final class Ledger {

    /** Hears of each fact about a request as it happens, on the endpoint's event loop. */
    public interface Observer {
        /** An endpoint begins a request, cold or warm. */
        void ran(String endpoint, String id, boolean cold);

        /** It turns one away. */
        void turnedAway(String endpoint, String id);

        /** It has written a whole answer. */
        void answered(String endpoint, String id);
    }

    private static final Observer NOBODY = new Observer() {
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

    private final int most;
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

    /** An empty ledger for so many ids. */
    public Ledger(int most) {
        this(most, NOBODY);
    }

    /** As above; {@code observer} hears of each fact too. */
    public Ledger(int most, Observer observer) {
        this.most = most;
        this.observer = observer;
    }

    void received() {
        received.increment();
    }

    void ran(String endpoint, String id, boolean unsafe, boolean isCold) {
        ran.increment();
        observer.ran(endpoint, id, isCold);
        if (runs.size() < most || runs.containsKey(id)) {
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

    /** Requests whose last byte has come. */
    public long receivedCount() {
        return received.sum();
    }

    /** Requests that endpoints began to run, repeats among them. */
    public long ranCount() {
        return ran.sum();
    }

    /** Requests answered with {@code X-Not-Run: 1}. */
    public long turnedAwayCount() {
        return turnedAway.sum();
    }

    /** Whole answers written for requests that ran. */
    public long answeredCount() {
        return answered.sum();
    }

    /** Requests that came to an endpoint more than the grace after its drain was told. */
    public long afterDrainCount() {
        return afterDrain.sum();
    }

    /** Requests that ran on an endpoint while it was cold. */
    public long coldCount() {
        return cold.sum();
    }

    /**
     * Requests that ran and whose ids there was no room for; with any, {@link #runTwice} is a lower bound.
     */
    public long unknownCount() {
        return unknown.sum();
    }

    /** Ids that ran. */
    public int ids() {
        return runs.size();
    }

    /** Ids that ran more than once. */
    public long runTwice() {
        return runs.values().stream().filter(count -> count > 1).count();
    }

    /**
     * Runs of unsafe requests (POST with no idempotency key) beyond the first of each: there should be none.
     */
    public long unsafeAgainCount() {
        return unsafeAgain.sum();
    }

    /** How often one ran. */
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
