package martenlatch.policy;

import java.util.*;
import java.util.function.Predicate;
import martenlatch.policy.api.*;

/**
 * Holds the slots that this balancer uses, and ranks them. Each ready endpoint also offers at most one spare slot,
 * which is not in the pool but may be added to it.
 */
final class SlotPool {

    static final int MAX_SLOTS = 256; // maximum size of the pool, whatever the number of endpoints
    private static final int MIN_SLOTS = 4; // enough for a request and its retries
    /** Pool size as a multiple of the recent peak of attempts in flight. */
    private static final double SIZE_HEADROOM = 1.25;

    private static final double PEAK_DECAY = 0.996; // factor on the recent peak at each refill
    private static final int MAX_SLOTS_PER_ENDPOINT = 62; // must fit the bits of EndpointState.heldSlots
    /** Weight of a new connection attempt in the failure rate. */
    private static final double CONNECT_FAILURE_GAIN = 1.0 / 4;

    private static final double CONNECT_FAILURE_DECAY = 0.99; // factor on the failure rate at each refill
    /** Rank penalty, in rounds over all balancers, at a failure rate of 1. */
    private static final double CONNECT_FAILURE_PENALTY = 4;

    private static final double MIN_COST = 0.6; // a lower cost would be based on too few samples
    private static final double MIN_COST_CHANGE = 1.1; // factor by which a cost must change to change the ranks
    /** Rank penalty, in rounds over all balancers, for each unit of cost above 1. */
    private static final double COST_PENALTY = 0.5;
    /** A large odd number, whose powers permute the order on the ring. */
    private static final long RING_HASH_MULTIPLIER = 0x9E3779B1L;

    private final BalancerState state;
    private final LocalityRouting locality;
    private final BalancerActions actions;
    private final List<Slot> pool = new ArrayList<>();
    /** Spare slots by rank, of endpoints in the own zone and in all other zones; at most one for each endpoint. */
    private final TreeSet<Slot> ownZoneSpares = new TreeSet<>();

    private final TreeSet<Slot> otherZonesSpares = new TreeSet<>();
    private final List<EndpointState> paused = new ArrayList<>();
    private final List<EndpointState> inSlowStart = new ArrayList<>();
    private double connectFailureRate; // moving average over attempts on slots without a connection

    SlotPool(BalancerState state, LocalityRouting locality, BalancerActions actions) {
        this.state = state;
        this.locality = locality;
        this.actions = actions;
    }

    /**
     * Returns the lowest-ranked usable free slot of the pool, else the lowest-ranked usable spare slot if the pool may
     * grow, else null.
     */
    Slot lowestRankedUsable(Predicate<Slot> usable) {
        Slot lowest = null;
        for (Slot slot : pool) {
            if (!slot.busy && (lowest == null || compare(slot, lowest) < 0) && usable.test(slot)) {
                lowest = slot;
            }
        }
        if (lowest != null || pool.size() >= MAX_SLOTS) {
            return lowest;
        }
        return lowerRanked(
                ownZoneSpares.stream().filter(usable).findFirst().orElse(null),
                otherZonesSpares.stream().filter(usable).findFirst().orElse(null));
    }

    /** Returns a slot of the endpoint from the pool, else its spare slot, which may be null. */
    Slot anySlotOf(EndpointState endpoint) {
        return pool.stream()
                .filter(slot -> slot.endpoint == endpoint)
                .findFirst()
                .orElse(endpoint.spareSlot);
    }

    /** Adds a spare slot to the pool and offers the endpoint's next one; does nothing with a slot of the pool. */
    void addToPool(double nowMs, Slot slot) {
        EndpointState endpoint = slot.endpoint;
        if (endpoint.spareSlot == slot) {
            endpoint.heldSlots |= 1L << slot.index;
            pool.add(slot);
            offerSpare(nowMs, endpoint);
        }
    }

    /** Removes a slot from the pool; closes the endpoint's idle connections if it holds no other slot or attempt. */
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

    /** Discards all slots of an endpoint. */
    void discardAll(EndpointState endpoint) {
        for (int i = pool.size() - 1; i >= 0; i--) {
            if (pool.get(i).endpoint == endpoint) {
                discard(pool.get(i));
            }
        }
    }

    /** Replaces the endpoint's spare slot by its lowest slot outside the pool, or by none if it may have no more. */
    void offerSpare(double nowMs, EndpointState endpoint) {
        if (endpoint.spareSlot != null) {
            sparesOf(endpoint).remove(endpoint.spareSlot);
            endpoint.spareSlot = null;
        }
        boolean onlyOneSlot = endpoint.onProbation || state.slowStartCapacity(nowMs, endpoint) < 1;
        if (endpoint.removed
                || !endpoint.isReady()
                || nowMs < endpoint.pausedUntilMs
                || Long.bitCount(endpoint.heldSlots) >= (onlyOneSlot ? 1 : MAX_SLOTS_PER_ENDPOINT)
                || (endpoint.onProbation && endpoint.inFlight > 0)) {
            return;
        }
        Slot slot = new Slot(endpoint, Long.numberOfTrailingZeros(~endpoint.heldSlots));
        slot.rank = rank(slot);
        endpoint.spareSlot = slot;
        sparesOf(endpoint).add(slot);
    }

    /** Offers no spare slot of the endpoint for this time; slots in the pool stay usable. */
    void pause(double nowMs, EndpointState endpoint, double durationMs) {
        if (endpoint.pausedUntilMs <= nowMs) {
            paused.add(endpoint);
        }
        endpoint.pausedUntilMs = Math.max(endpoint.pausedUntilMs, nowMs + durationMs);
        offerSpare(nowMs, endpoint);
    }

    /** Has the endpoint's cost updated at each refill while it is in slow start. */
    void trackSlowStart(double nowMs, EndpointState endpoint) {
        if (state.slowStartCapacity(nowMs, endpoint) < 1 && !inSlowStart.contains(endpoint)) {
            inSlowStart.add(endpoint);
        }
    }

    /** Withdraws the spare slot of a removed endpoint, and stops tracking the endpoint. */
    void remove(double nowMs, EndpointState endpoint) {
        offerSpare(nowMs, endpoint);
        paused.remove(endpoint);
        inSlowStart.remove(endpoint);
    }

    /** Resumes paused endpoints, adapts the pool's size to the recent peak, and swaps in lower-ranked spare slots. */
    void refill(double nowMs) {
        connectFailureRate *= CONNECT_FAILURE_DECAY;
        for (int i = paused.size() - 1; i >= 0; i--) {
            if (paused.get(i).pausedUntilMs <= nowMs) {
                offerSpare(nowMs, paused.remove(i));
            }
        }
        for (int i = inSlowStart.size() - 1; i >= 0; i--) {
            EndpointState endpoint = inSlowStart.get(i);
            if (state.slowStartCapacity(nowMs, endpoint) >= 1) {
                inSlowStart.remove(i);
            }
            updateCost(nowMs, endpoint, false);
        }
        double size = Math.min(MAX_SLOTS, Math.max(MIN_SLOTS, Math.ceil(state.peakInFlight * SIZE_HEADROOM)));
        state.peakInFlight = Math.max(state.inFlight, state.peakInFlight * PEAK_DECAY);
        while (pool.size() < size && lowestRankedSpare() != null) {
            addToPool(nowMs, lowestRankedSpare());
        }
        for (Slot highest = highestRankedFree(); highest != null; highest = highestRankedFree()) {
            boolean fits = pool.size() <= size;
            if (fits && (lowestRankedSpare() == null || compare(lowestRankedSpare(), highest) >= 0)) {
                return;
            }
            discard(highest);
            offerSpare(nowMs, highest.endpoint);
            if (fits) {
                addToPool(nowMs, lowestRankedSpare());
            }
        }
    }

    /** Returns the highest-ranked free slot of the pool, or null. */
    private Slot highestRankedFree() {
        return pool.stream().filter(slot -> !slot.busy).max(this::compare).orElse(null);
    }

    /** Returns the lowest-ranked spare slot, or null. */
    private Slot lowestRankedSpare() {
        return lowerRanked(
                ownZoneSpares.isEmpty() ? null : ownZoneSpares.first(),
                otherZonesSpares.isEmpty() ? null : otherZonesSpares.first());
    }

    private Set<Slot> sparesOf(EndpointState endpoint) {
        return state.isRemote(endpoint) ? otherZonesSpares : ownZoneSpares;
    }

    /**
     * Records whether the slot has a connection after an attempt. Returns true for an endpoint's first failure to
     * connect while another of its connections works.
     */
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

    private Slot lowerRanked(Slot a, Slot b) {
        return a == null || (b != null && compare(b, a) < 0) ? b : a;
    }

    private int compare(Slot a, Slot b) {
        int order = Double.compare(penalizedRank(a), penalizedRank(b));
        return order != 0 ? order : a.compareTo(b);
    }

    /** Returns the rank plus penalties for a remote zone, and for a missing connection while connecting fails. */
    private double penalizedRank(Slot slot) {
        return slot.rank
                + (state.isRemote(slot.endpoint) ? locality.remoteRankPenalty : 0)
                + (slot.connected ? 0 : connectFailureRate * CONNECT_FAILURE_PENALTY * state.settings.balancerCount());
    }

    /**
     * Updates the endpoint's cost from its slowness, and its ranks if the cost has changed enough or {@code always}.
     */
    void updateCost(double nowMs, EndpointState endpoint, boolean always) {
        double cost = Math.max(MIN_COST, endpoint.slowness);
        if (!always && cost < endpoint.cost * MIN_COST_CHANGE && cost > endpoint.cost / MIN_COST_CHANGE) {
            return;
        }
        endpoint.cost = cost;
        pool.stream().filter(slot -> slot.endpoint == endpoint).forEach(slot -> slot.rank = rank(slot));
        offerSpare(nowMs, endpoint);
    }

    /** Computes the ranks of all slots in the pool and of the spare slots of these endpoints. */
    void recomputeRanks(double nowMs, List<EndpointState> ready) {
        pool.forEach(slot -> slot.rank = rank(slot));
        ready.forEach(endpoint -> offerSpare(nowMs, endpoint));
    }

    /** Returns the base rank times the cost, plus a penalty because the product hardly raises the lowest ranks. */
    private double rank(Slot slot) {
        double cost = slot.endpoint.cost;
        return (baseRank(slot) + 0.5) * cost + Math.max(0, cost - 1) * state.settings.balancerCount() * COST_PENALTY;
    }

    /** Returns the Boxcar rank: the requests at the endpoint if every balancer uses its slots up to this one. */
    double baseRank(Slot slot) {
        int balancers = state.settings.balancerCount();
        return slot.index * balancers / state.relativeWeight(slot.endpoint)
                + (state.settings.ownIndex() + slot.endpoint.ringPosition) % balancers;
    }

    /**
     * Returns the sort key of the endpoint on this balancer's ring. If balancers outnumber endpoints they use several
     * rings, so that requests that leave one endpoint go to several others.
     */
    long ringOrder(EndpointState endpoint) {
        int balancersPerEndpoint = state.settings.balancerCount() / Math.max(1, state.readyCount);
        int rings = Integer.highestOneBit(Math.max(1, balancersPerEndpoint));
        long multiplier = 1;
        for (int i = state.settings.ownIndex() % rings; i > 0; i--) {
            multiplier *= RING_HASH_MULTIPLIER;
        }
        return endpoint.hash * multiplier & 0xffffffffL;
    }
}
