package martenlatch.policy;

import java.util.*;
import java.util.function.Predicate;
import martenlatch.policy.api.*;

/** The ranked slots: which are in the pool, which come next, and in which order calls take them. */
final class SlotPool {

    static final int MAX_SLOTS = 256; // the most slots that a pool holds, whatever the size of the fleet
    private static final int MIN_SLOTS = 4; // a call and its retries always find one
    private static final double HEADROOM = 1.25; // of the pool over the recent peak of attempts

    private static final double PEAK_DECAY = 0.996; // factor on the remembered peak at each refill
    private static final int MAX_SLOTS_PER_ENDPOINT = 62; // the width of the bit mask
    private static final double CONNECT_FAILURE_GAIN = 1.0 / 4; // weight of a new connect in the share that fails
    private static final double CONNECT_FAILURE_DECAY = 0.99; // factor on that share at each refill
    private static final double CONNECT_FAILURE_ROUNDS = 4; // rounds of ranks that such a share of 1 moves back
    private static final double MIN_COST = 0.6; // a lower one would rest on too few samples
    private static final double COST_CHANGE = 1.1; // factor by which a cost changes before ranks do
    private static final double COST_STEP_BACK = 0.5; // rounds of ranks that a multiple of the cost moves back
    private static final long RING_MIX = 0x9E3779B1L; // any large odd number: its powers reorder the ring

    private final BalancerState state;
    private final LocalityRouting locality;
    private final BalancerActions actions;
    private final List<Slot> pool = new ArrayList<>();
    /** The next slots outside the pool, one for each endpoint at most, by rank: own zone, and all other zones. */
    private final TreeSet<Slot> ownZoneSpares = new TreeSet<>();

    private final TreeSet<Slot> otherZonesSpares = new TreeSet<>();
    private final List<EndpointState> paused = new ArrayList<>();
    private final List<EndpointState> warmingUp = new ArrayList<>();
    private double connectFailureRate; // moving average of failures among attempts that had to establish a connection

    SlotPool(BalancerState state, LocalityRouting locality, BalancerActions actions) {
        this.state = state;
        this.locality = locality;
        this.actions = actions;
    }

    /** The first usable slot of the pool, else of those outside it while the pool may grow; null if there is none. */
    Slot firstUsable(Predicate<Slot> usable) {
        Slot best = null;
        for (Slot slot : pool) {
            if (!slot.busy && (best == null || compare(slot, best) < 0) && usable.test(slot)) {
                best = slot;
            }
        }
        if (best != null || pool.size() >= MAX_SLOTS) {
            return best;
        }
        return first(
                ownZoneSpares.stream().filter(usable).findFirst().orElse(null),
                otherZonesSpares.stream().filter(usable).findFirst().orElse(null));
    }

    Slot anySlotOf(EndpointState endpoint) {
        return pool.stream()
                .filter(slot -> slot.endpoint == endpoint)
                .findFirst()
                .orElse(endpoint.spareSlot);
    }

    /** Adds a spare slot to the pool, and offers the endpoint's next one; a slot of the pool stays as it is. */
    void addToPool(double nowMs, Slot slot) {
        EndpointState endpoint = slot.endpoint;
        if (endpoint.spareSlot == slot) {
            endpoint.heldSlots |= 1L << slot.index;
            pool.add(slot);
            offerSpare(nowMs, endpoint);
        }
    }

    /** Removes a slot from the pool; with an endpoint's last slot its idle connections are closed. */
    void discard(Slot slot) {
        if (slot.discarded) {
            return;
        }
        slot.discarded = true;
        pool.remove(slot);
        slot.endpoint.heldSlots &= ~(1L << slot.index);
        if (slot.endpoint.heldSlots == 0 && slot.endpoint.inFlight == 0) {
            actions.closeIdleConnections(slot.endpoint.id);
        }
    }

    void discardAll(EndpointState endpoint) {
        for (int i = pool.size() - 1; i >= 0; i--) {
            if (pool.get(i).endpoint == endpoint) {
                discard(pool.get(i));
            }
        }
    }

    /** Offers the endpoint's lowest slot outside the pool, or none if it may have no more. */
    void offerSpare(double nowMs, EndpointState endpoint) {
        if (endpoint.spareSlot != null) {
            sparesOf(endpoint).remove(endpoint.spareSlot);
            endpoint.spareSlot = null;
        }
        boolean single = endpoint.onProbation || state.warmCapacity(nowMs, endpoint) < 1;
        if (endpoint.removed
                || !endpoint.isReady()
                || nowMs < endpoint.pausedUntilMs
                || Long.bitCount(endpoint.heldSlots) >= (single ? 1 : MAX_SLOTS_PER_ENDPOINT)
                || (endpoint.onProbation && endpoint.inFlight > 0)) {
            return;
        }
        Slot slot = new Slot(endpoint, Long.numberOfTrailingZeros(~endpoint.heldSlots));
        slot.rank = rank(slot);
        endpoint.spareSlot = slot;
        sparesOf(endpoint).add(slot);
    }

    void pause(double nowMs, EndpointState endpoint, double durationMs) {
        if (endpoint.pausedUntilMs <= nowMs) {
            paused.add(endpoint);
        }
        endpoint.pausedUntilMs = Math.max(endpoint.pausedUntilMs, nowMs + durationMs);
        offerSpare(nowMs, endpoint);
    }

    void watchSlowStart(double nowMs, EndpointState endpoint) {
        if (state.warmCapacity(nowMs, endpoint) < 1 && !warmingUp.contains(endpoint)) {
            warmingUp.add(endpoint);
        }
    }

    /** Withdraws the spare slot of an endpoint that was removed, and forgets it. */
    void remove(double nowMs, EndpointState endpoint) {
        offerSpare(nowMs, endpoint);
        paused.remove(endpoint);
        warmingUp.remove(endpoint);
    }

    /** Lets paused endpoints return, fits the pool's size to the recent peak, and swaps in lower-ranked slots. */
    void refill(double nowMs) {
        connectFailureRate *= CONNECT_FAILURE_DECAY;
        for (int i = paused.size() - 1; i >= 0; i--) {
            if (paused.get(i).pausedUntilMs <= nowMs) {
                offerSpare(nowMs, paused.remove(i));
            }
        }
        for (int i = warmingUp.size() - 1; i >= 0; i--) {
            EndpointState endpoint = warmingUp.get(i);
            if (state.warmCapacity(nowMs, endpoint) >= 1) {
                warmingUp.remove(i);
            }
            updateCost(nowMs, endpoint, false);
        }
        double size = Math.min(MAX_SLOTS, Math.max(MIN_SLOTS, Math.ceil(state.peakInFlight * HEADROOM)));
        state.peakInFlight = Math.max(state.inFlight, state.peakInFlight * PEAK_DECAY);
        while (pool.size() < size && firstSpare() != null) {
            addToPool(nowMs, firstSpare());
        }
        for (Slot worst = lastFree(); worst != null; worst = lastFree()) {
            boolean fits = pool.size() <= size;
            if (fits && (firstSpare() == null || compare(firstSpare(), worst) >= 0)) {
                return;
            }
            discard(worst);
            offerSpare(nowMs, worst.endpoint);
            if (fits) {
                addToPool(nowMs, firstSpare());
            }
        }
    }

    private Slot lastFree() {
        return pool.stream().filter(slot -> !slot.busy).max(this::compare).orElse(null);
    }

    private Slot firstSpare() {
        return first(
                ownZoneSpares.isEmpty() ? null : ownZoneSpares.first(),
                otherZonesSpares.isEmpty() ? null : otherZonesSpares.first());
    }

    private Set<Slot> sparesOf(EndpointState endpoint) {
        return state.isRemote(endpoint) ? otherZonesSpares : ownZoneSpares;
    }

    /** Records what a slot's connection is like; true if a connect failed for once while other connections work. */
    boolean recordConnection(Slot slot, AttemptOutcome outcome) {
        boolean failed = outcome == AttemptOutcome.CONNECT_ERROR;
        if (!slot.connected && outcome != AttemptOutcome.CANCELED && outcome != AttemptOutcome.NOT_EXECUTED) {
            connectFailureRate += CONNECT_FAILURE_GAIN * ((failed ? 1 : 0) - connectFailureRate);
        }
        slot.connected = outcome == AttemptOutcome.OK
                || outcome == AttemptOutcome.FAILED
                || outcome == AttemptOutcome.REJECTED_QUEUE_FULL;
        if (outcome == AttemptOutcome.OK) {
            slot.endpoint.connectFailed = false;
        }
        if (!failed || slot.endpoint.connectFailed) {
            return false;
        }
        slot.endpoint.connectFailed =
                pool.stream().anyMatch(other -> other != slot && other.endpoint == slot.endpoint && other.connected);
        return slot.endpoint.connectFailed;
    }

    private Slot first(Slot a, Slot b) {
        return a == null || (b != null && compare(b, a) < 0) ? b : a;
    }

    private int compare(Slot a, Slot b) {
        int order = Double.compare(penalizedRank(a), penalizedRank(b));
        return order != 0 ? order : a.compareTo(b);
    }

    /** Slots of other zones come later, and so do slots without a connection while new connects fail. */
    private double penalizedRank(Slot slot) {
        return slot.rank
                + (state.isRemote(slot.endpoint) ? locality.remoteRankPenalty : 0)
                + (slot.connected ? 0 : connectFailureRate * CONNECT_FAILURE_ROUNDS * state.settings.balancerCount());
    }

    /** Moves an endpoint's slots by what it can do: slow or warming ones get fewer calls. */
    void updateCost(double nowMs, EndpointState endpoint, boolean always) {
        double cost = Math.max(MIN_COST, endpoint.slowness);
        if (!always && cost < endpoint.cost * COST_CHANGE && cost > endpoint.cost / COST_CHANGE) {
            return;
        }
        endpoint.cost = cost;
        pool.stream().filter(slot -> slot.endpoint == endpoint).forEach(slot -> slot.rank = rank(slot));
        offerSpare(nowMs, endpoint);
    }

    void recomputeRanks(double nowMs, List<EndpointState> ready) {
        pool.forEach(slot -> slot.rank = rank(slot));
        ready.forEach(endpoint -> offerSpare(nowMs, endpoint));
    }

    /** The base rank times the endpoint's cost; as that hardly moves the lowest slots, all move back a little. */
    private double rank(Slot slot) {
        double cost = slot.endpoint.cost;
        return (baseRank(slot) + 0.5) * cost + Math.max(0, cost - 1) * state.settings.balancerCount() * COST_STEP_BACK;
    }

    /** Boxcar's rank: how many calls the endpoint holds if every balancer uses its slots up to this one. */
    double baseRank(Slot slot) {
        int balancers = state.settings.balancerCount();
        return slot.index * balancers / state.relativeWeight(slot.endpoint)
                + (state.settings.ownIndex() + slot.endpoint.ringPosition) % balancers;
    }

    /** Sorts the ring. Many balancers use several rings: calls that leave one endpoint then go to several others. */
    long ringOrder(EndpointState endpoint) {
        int perEndpoint = state.settings.balancerCount() / Math.max(1, state.readyCount);
        int rings = Integer.highestOneBit(Math.max(1, perEndpoint));
        long multiplier = 1;
        for (int i = state.settings.ownIndex() % rings; i > 0; i--) {
            multiplier *= RING_MIX;
        }
        return endpoint.hash * multiplier & 0xffffffffL;
    }
}
