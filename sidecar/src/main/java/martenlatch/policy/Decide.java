// The decision module. The types, events and actions it deals in are declared in Contract.java.
package martenlatch.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import martenlatch.policy.Contract.*;

/**
 * One balancer after Boxcar: a bounded pool of ranked slots on servers; every call takes the lowest-ranked
 * free slot, a failed attempt discards its slot and the call goes on to the next best one within bounds,
 * and a full pool turns calls away. Single-threaded; time comes with the events.
 */
public final class Decide implements Events {

    /** The most slots a pool may hold, whatever the fleet's size. */
    private static final int CEILING = 256;
    /** The fewest slots a pool aims for: a call and its retries always find one. */
    private static final int FLOOR = 4;
    /** The pool aims for this multiple of the recent peak of calls at once, to be ready for the next. */
    private static final double HEADROOM = 1.25;
    /** What is left of the remembered peak after one refill pause. */
    private static final double PEAK_DECAY = 0.996;
    /** Slots a balancer may hold on one server: the width of the mask that marks them. */
    private static final int SLOTS_PER_SERVER = 62;
    /** Retries allowed for each request taken: above it retries of several tiers would multiply. */
    private static final double RETRY_SHARE = 0.2;
    /** Unused retries that may be saved up, for the moment when several servers die at once. */
    private static final double RETRY_SAVINGS = 10;
    /** Weight of a new sample in what is learned of a class, and of a server. */
    private static final double CLASS_GAIN = 1.0 / 32;
    private static final double SERVER_GAIN = 1.0 / 12;
    /** The share of answers that a class's learned tail time exceeds, and how fast it is learned. */
    private static final double TAIL_SHARE = 0.03;
    private static final double TAIL_GAIN = 0.1;
    /** An attempt that could be repeated is given up after this multiple of its class's tail time. */
    private static final double PATIENCE = 1.5;
    /** Weight of a new connect in the share that fails, what a pause leaves of it, its worth in rounds. */
    private static final double CONNECT_GAIN = 1.0 / 4;
    private static final double CONNECT_FADE = 0.99;
    private static final double CONNECT_ROUNDS = 4;
    /** Weight of a new outcome in the share of a server's that fail, and the share that is not chance. */
    private static final double FAILING_GAIN = 1.0 / 4;
    private static final double FAILING_SHARE = 0.4;
    /** The most doublings of a failing server's pause. */
    private static final int MOST_DOUBLINGS = 5;
    /** A server silent for so many of its usual gaps hangs: at random gaps that is 2 in 100 by chance. */
    private static final double HANG_GAPS = 4;
    /** A server's slowness is kept within this factor either way: more would rest on too few samples. */
    private static final double SLOWEST = 8;
    private static final double FASTEST = 0.6;
    /** A rank is worked out anew only when a server's cost has moved by more than this factor. */
    private static final double REPRICE = 1.1;
    /** A multiple of its usual cost moves a server back by this part of a round of ranks, its lowest too. */
    private static final double STEP_BACK = 0.5;
    /** Other zones' slots rank after as many of the own zone's as this multiple of the usual calls need. */
    private static final double SPILL = 3;
    /**
     * Locality gives way while the own zone's answers take more of the aim than other zones' by this multiple
     * of what crossing zones costs: then the own zone is crowded, slow or lost, and others are not.
     */
    private static final double SPILL_MARGIN = 6;
    /** What is left of locality after a refill pause in which it gave way, and what it else regains. */
    private static final double SPILL_CUT = 0.7;
    private static final double SPILL_REGAIN = 0.02;
    /** The usual number of calls at once is learned over this many refill pauses. */
    private static final double CALM_PAUSES = 200;
    /** Answers averaged for a class's base time, and the rise it is allowed at each such average. */
    private static final int BASE_SAMPLES = 16;
    private static final double BASE_RISE = 1.02;
    /** The share of the pool's bound kept for calls of more worth. */
    private static final double RESERVE = 0.2;
    /** Calls at the first tier that are beyond their tenant's allowance get this part of the pool's limit. */
    private static final double BEYOND_SHARE = 0.6;
    /** For so long after a call within its share was turned away, none beyond its share is taken. */
    private static final double SHARE_FIRST_MS = 1000;
    /** Seconds of a tenant's allowance that may be saved up: clients come in bursts. */
    private static final double ALLOWANCE_SAVINGS_S = 2;
    /**
     * Beyond a class's base time, answers should take this part of what the aim leaves, on average: the
     * rest is for the slow ones among them, for the time until a cut shows, and for bursts.
     */
    private static final double COMFORT = 0.2;
    /** The part of it left where the limit is small, and the limit from which all of it counts. */
    private static final double LEAST_COMFORT = 0.5;
    private static final double AMPLE_LIMIT = 3;
    /** Weight of a new outcome in the pressure, and what a crowded pool's limit is cut to. */
    private static final double PRESSURE_GAIN = 1.0 / 16;
    private static final double CUT = 0.85;
    /** Calls a server, over all balancers, that the limit stays above: some must show when all is well. */
    private static final double LEAST_CALLS = 0.5;
    /** Calls a server, over all balancers, that the limit starts from: two for each of two cores. */
    private static final double FIRST_CALLS = 4;
    /** While answers are slow, no server may hold more than this multiple of what the limit stands for. */
    private static final double CASCADE = 2;
    /** Where a late answer is worth nothing, a call ends at this part of its aim: later costs more. */
    private static final double USEFUL = 0.99;
    /** Any large odd number: its powers put the servers of each ring into another order. */
    private static final long RING_MIX = 0x9E3779B1L;
    private static final double REPORT_MS = 10_000;
    /** A watch that ended may have been asked for long ago: the next call comes well within that time. */
    private static final double FIRST_ASK_PAUSE = 0.5;
    /** Four times the usual is allowed after a failed call; the last of it is for that call itself. */
    private static final int MOST_ASK_PAUSES = 3;
    /** Name of the timer for the next request for the list. */
    private static final long ASK_TIMER = 1;

    /** A slot: the right to have one call at a time at one server. */
    private static final class Slot implements Comparable<Slot> {
        final Target target;
        final int number;
        /** The rank it has by the design's formula, at the server's present place and cost. */
        double rank;
        boolean busy;
        /** A call was answered on it and none was lost since: a connection for it stands open. */
        boolean connected;
        /** Left the pool while a call was still out on it. */
        boolean discarded;

        Slot(Target target, int number) {
            this.target = target;
            this.number = number;
        }

        @Override
        public int compareTo(Slot other) {
            int order = Double.compare(rank, other.rank);
            order = order != 0 ? order : Long.compare(target.hash, other.target.hash);
            order = order != 0 ? order : target.id.compareTo(other.target.id);
            return order != 0 ? order : Integer.compare(number, other.number);
        }
    }

    /** What this balancer knows of one server. */
    private static final class Target {
        final String id;
        final long hash;
        /** What discovery last said, and what holds: one that is disabled counts as draining. */
        Contract.Server told;
        Contract.Server listed;
        boolean forgotten;
        /** Bits of the slots in the pool, and the next slot outside it, if it may have one. */
        long held;
        Slot spare;
        int inFlight;
        int strikes;
        /** The recent share of outcomes that spoke against it. */
        double failing;
        /** When it last answered, and the usual time between its answers to this balancer; 0 before both. */
        double lastAnswer;
        double answerGapMs;
        /** How crowded it is by its answers of late, in the measure of the pressure. */
        double crowding;
        double pausedUntil;
        /** A connect has failed, though other connections stand, and nothing was answered since. */
        boolean connectFailed;
        /** After repeated failure: one slot at a time until it has answered often enough. */
        boolean onTrial;
        int trialAnswers;
        double slowness = 1;
        double cost = 1;
        /** Its place on the ring of balancers, the same at every balancer that has the same list. */
        double place;

        Target(Contract.Server listed) {
            this.id = listed.id();
            this.listed = listed;
            this.hash = mix(id);
        }

        void answered(double now, double ratio) {
            crowding += FAILING_GAIN * (ratio - crowding);
            if (lastAnswer > 0) {
                double gap = now - lastAnswer;
                answerGapMs += (answerGapMs == 0 ? 1 : SERVER_GAIN) * (gap - answerGapMs);
            }
            lastAnswer = now;
        }

        /** A 32-bit FNV-1a hash, finished with a mix, the same at every balancer. */
        private static long mix(String text) {
            int h = 0x811c9dc5;
            for (int i = 0; i < text.length(); i++) {
                h = (h ^ text.charAt(i)) * 0x01000193;
            }
            h ^= h >>> 16;
            h *= 0x7feb352d;
            h ^= h >>> 15;
            return h & 0xffffffffL;
        }
    }

    /** One attempt of a call. */
    private record Attempt(Slot slot, double sentAt, double timeoutMs, Outcome[] end) {
    }

    /** A request in hand. */
    private static final class Call {
        final Request request;
        final RequestClass kind;
        final Learned known;
        final int tries;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** When an answer stops being worth waiting for. */
        final double usefulUntil;
        boolean answered;
        int out;
        boolean withinShare;
        /** The first attempt that may have run: its server's group and time bind later ones. */
        Attempt mayHaveRun;

        Call(double now, Request request, RequestClass kind, Learned known, int tries) {
            this.request = request;
            this.kind = kind;
            this.known = known;
            this.tries = tries;
            usefulUntil = kind.lateWorth() > 0 ? request.deadlineMs()
                : Math.min(request.deadlineMs(), now + kind.aimMs() * USEFUL);
        }
    }

    /** What is learned of a class: its usual answer time and the time few answers exceed. */
    private static final class Learned {
        double typicalMs;
        double tailMs;
        /** What answers take when nothing is crowded: the lowest of recent averages. */
        double baseMs;
        double sumMs;
        int samples;

        Learned(RequestClass kind) {
            typicalMs = kind.aimMs() / 4;
            tailMs = kind.aimMs();
        }

        void answered(double tookMs) {
            typicalMs += CLASS_GAIN * (tookMs - typicalMs);
            sumMs += tookMs;
            if (++samples == BASE_SAMPLES) {
                double mean = sumMs / samples;
                baseMs = baseMs == 0 ? mean : Math.min(mean, baseMs * BASE_RISE);
                samples = 0;
                sumMs = 0;
            }
        }

        double baseMs() {
            return baseMs > 0 ? baseMs : typicalMs;
        }
    }

    private Settings settings;
    private final Actions host;
    private final SplittableRandom random;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final List<Target> known = new ArrayList<>();
    private final List<Slot> pool = new ArrayList<>();
    /** The slots next outside the pool, one a server at most, by rank: the own zone's and all others. */
    private final TreeSet<Slot> nearSpares = new TreeSet<>();
    private final TreeSet<Slot> farSpares = new TreeSet<>();
    private final List<Target> paused = new ArrayList<>();
    private final List<Target> cold = new ArrayList<>();
    private Learned[] learned = {};
    private double mostWorth;
    private boolean anyRepeatable;
    /** Taken out by the operators: nothing new goes there, whatever lists say. */
    private Set<String> disabled = Set.of();
    /** Put back by hand: when each is owed a call. */
    private final Map<String, Double> owed = new LinkedHashMap<>();
    private double meanWeight = 1;
    private int ready;
    private int readyInZone;
    private int ailing;
    private int inFlight;
    /** When an attempt last ended, and how long it took. */
    private double lastEnd;
    private double lastTook;
    private double peak;
    private double nextRefill;
    private double lastRefill;
    /** Base time of the calls taken since the last refill, and the calls at once that it usually makes. */
    private double demandMs;
    private double usual;
    private double spill;
    /** The part of its full reach that locality has; how crowded the own and other zones were of late. */
    private double locality = 1;
    private double nearCrowding;
    /** The recent share of failures among calls that had to open a connection. */
    private double connectFailing;
    private double farCrowding;
    private double retriesLeft = RETRY_SAVINGS;
    private int askFailures;
    /** How many calls may be out at once before the first tier turns more away; learned from outcomes. */
    private double limit;
    /** What outcomes took beyond the base time, as a part of what the aim leaves, on recent average. */
    private double pressure;
    private double nextCut;
    private double quickUntil;
    /** What the next line to the operators tells of. */
    private double nextReport;
    private int turnedAway;
    private int fullServers;
    private int ejections;
    /** When a call within its tenant's share was last turned away by the limit. */
    private double shareTurnedAway = Double.NEGATIVE_INFINITY;
    /** What is left of each tenant's allowance at this balancer, and when it was last topped up. */
    private double[] allowance;
    private double[] toppedUp;

    /** A balancer that knows its settings and nothing else; it acts through {@code host}. */
    public Decide(Settings settings, long seed, Actions host) {
        this.settings = settings;
        this.host = host;
        this.random = new SplittableRandom(seed);
        take(settings);
        if (settings.asksForList()) {
            askForList(settings.rules().askWithinMs() / 2);
        }
    }

    /** What is learned of a class stays with its name. */
    private void take(Settings next) {
        Learned[] fresh = new Learned[next.classes().size()];
        mostWorth = Double.MIN_NORMAL;
        anyRepeatable = false;
        for (int i = 0; i < fresh.length; i++) {
            RequestClass kind = next.classes().get(i);
            fresh[i] = new Learned(kind);
            for (int j = 0; j < learned.length; j++) {
                fresh[i] = settings.classes().get(j).name().equals(kind.name()) ? learned[j] : fresh[i];
            }
            mostWorth = Math.max(mostWorth, kind.worth());
            anyRepeatable |= kind.effect() != Effect.ONCE;
        }
        learned = fresh;
        allowance = new double[next.tenants().size()];
        toppedUp = new double[allowance.length];
        settings = next;
    }

    /** How many requests are in hand: not answered yet, or answered with an attempt still out. */
    public int openCalls() {
        return calls.size();
    }

    /** How many servers are known, gone ones with calls still out there among them. */
    int knownServers() {
        return targets.size();
    }

    // ---- a request comes: taken or turned away ----

    @Override
    public void onRequest(double now, Request request) {
        check(request);
        tick(now);
        Call call = new Call(now, request, settings.classes().get(request.requestClass()),
            learned[request.requestClass()], settings.limits().tries());
        calls.put(request.id(), call);
        demandMs += call.known.baseMs();
        retriesLeft = Math.min(RETRY_SAVINGS, retriesLeft + RETRY_SHARE);
        call.withinShare = settings.tier() > 0 || withinShare(now, request.tenant());
        if (!admits(now, call)) {
            shareTurnedAway = call.withinShare ? now : shareTurnedAway;
            turnedAway++;
            answer(call);
        } else if (!place(now, call)) {
            answer(call);
        }
    }

    /** What a host may get wrong is refused by name, before anything is done. */
    private void check(Request request) {
        check(request, "class", request.requestClass(), learned.length, learned.length);
        check(request, "tenant", request.tenant(), Math.max(1, allowance.length), allowance.length);
        if (calls.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is in hand already");
        }
    }

    private static void check(Request request, String what, int place, int most, int told) {
        if (place < 0 || place >= most) {
            throw new IllegalArgumentException("request " + request.id() + " is of " + what + " " + place
                + ", but the settings have " + told);
        }
    }

    /**
     * Admission control: whether the limit has room for a call. Lower tiers do not shed: a call there
     * carries work done above.
     */
    private boolean admits(double now, Call call) {
        if (settings.tier() > 0) {
            return inFlight < CEILING;
        }
        double most = limit * part(call);
        if (call.withinShare) {
            return most >= 1 ? inFlight < most : inFlight == 0 && now >= pacedUntil(most);
        }
        // Where the limit is one or two calls, a flood would take it all again and again: it must fit well.
        return now - shareTurnedAway >= SHARE_FIRST_MS && inFlight < most - 0.5;
    }

    /**
     * A limit below one call is a pace: so long a pause after the last call that on average no more than
     * that part of a call is out. Where balancers outnumber what servers can hold, one each is too many.
     */
    private double pacedUntil(double most) {
        return lastEnd + lastTook * (1 / most - 1);
    }

    /** The part of what there is that a call may use: the last of it is for calls of more worth. */
    private double part(Call call) {
        return (call.withinShare ? 1 : BEYOND_SHARE) * (1 - RESERVE * (1 - call.kind.worth() / mostWorth));
    }

    /** Whether a call fits this balancer's part of its tenant's allowance, which it then uses up. */
    private boolean withinShare(double now, int tenant) {
        if (tenant >= allowance.length) {
            return true;
        }
        double perMs = settings.tenants().get(tenant).allowancePerSecond() / settings.balancers() / 1000;
        double most = 1 + ALLOWANCE_SAVINGS_S * 1000 * perMs;
        allowance[tenant] = toppedUp[tenant] == 0 ? most
            : Math.min(most, allowance[tenant] + perMs * (now - toppedUp[tenant]));
        toppedUp[tenant] = now;
        if (allowance[tenant] < 1) {
            return false;
        }
        allowance[tenant]--;
        return true;
    }

    /**
     * Moves the limit by an outcome: down while answers take too much of the aim, else slowly up.
     * Guards against a limit that lost calls take down: where a server has answered others since, and in
     * comfort, a call left without an answer tells no more of crowding than those answers do. Also covers
     * answers lost on the way, stuck workers, and odd calls of vast work. May do harm where short calls pass
     * long ones at a crowded server, so it holds only where no more than the limit's share of calls is.
     */
    private void judgeCrowding(double now, Call call, Attempt attempt, Finished finished) {
        Target target = attempt.slot().target;
        double base = call.known.baseMs();
        if (finished.outcome() == Outcome.TIMED_OUT && hangs(now, target)) {
            return;
        }
        double ratio = switch (finished.outcome()) {
            case OK, TIMED_OUT -> Math.max(0, Math.min(2, (finished.tookMs() - base)
                / Math.max(call.kind.aimMs() - base, call.kind.aimMs() / 4)));
            case QUEUE_FULL -> 1;
            default -> pressure;
        };
        if (isFar(target)) {
            farCrowding += PRESSURE_GAIN * (ratio - farCrowding);
        } else {
            nearCrowding += PRESSURE_GAIN * (ratio - nearCrowding);
        }
        if (finished.outcome() == Outcome.OK) {
            target.answered(now, ratio);
        } else if (finished.outcome() == Outcome.TIMED_OUT && target.lastAnswer > attempt.sentAt()
                && target.crowding < comfort() && target.inFlight <= Math.max(1, limit / ready)) {
            ratio = Math.min(ratio, target.crowding);
        }
        // A balancer with few calls at once has few answers a second: each must then tell more.
        pressure += Math.max(PRESSURE_GAIN, 1 / (2 + 2 * limit)) * (ratio - pressure);
        if (pressure > comfort()) {
            if (now >= nextCut) {
                limit = Math.max(LEAST_CALLS * growth(), Math.min(limit, peak + 1) * CUT);
                nextCut = now + call.known.typicalMs;
            }
        } else if (finished.outcome() == Outcome.OK && inFlight * 2 >= limit) {
            boolean quick = limit < quickUntil && pressure < comfort() / 2;
            limit = Math.min(CEILING, limit + Math.min(limit, (quick ? 1 : 1 / limit) * growth()));
        }
    }

    /**
     * Guards against a limit that one hung server takes down: a crowded server answers late, a hung one not
     * at all, and fewer calls help only the first. If many are silent, they are crowded after all.
     */
    private boolean hangs(double now, Target target) {
        return target.answerGapMs > 0 && now - target.lastAnswer > HANG_GAPS * target.answerGapMs
            && !blamedOnShared();
    }

    /**
     * Where the limit is a call or two, answers are few and tell late what a change has done, and one call
     * more is a large step: such balancers keep further from the edge.
     */
    private double comfort() {
        return COMFORT * Math.max(LEAST_COMFORT, Math.min(1, limit / AMPLE_LIMIT));
    }

    /** This balancer's part of one call a server, at most one: all together move the fleet by that much. */
    private double growth() {
        return Math.min(1, (double) ready / settings.balancers());
    }

    // ---- the ordinary path: the lowest-ranked free slot ----

    /** Sends a call to the lowest-ranked free slot it may use; false if there is none. */
    private boolean place(double now, Call call) {
        Slot best = call.attempts.isEmpty() ? owedSlot(now, call) : null;
        best = best != null ? best : lowest(now, call, true);
        best = best != null ? best : lowest(now, call, false);
        if (best == null) {
            return false;
        }
        take(now, call, best);
        return true;
    }

    /** One call goes, out of turn, to a server that is put back: high ranks come late, cold ones later. */
    private Slot owedSlot(double now, Call call) {
        for (var each = owed.entrySet().iterator(); each.hasNext();) {
            Map.Entry<String, Double> due = each.next();
            Target target = targets.get(due.getKey());
            if (target == null || target.listed.state() != State.READY || now < due.getValue()) {
                continue;
            }
            Slot slot = pool.stream().filter(s -> s.target == target).findFirst().orElse(target.spare);
            if (target.inFlight > 0) {
                each.remove();
            } else if (slot != null && (call.kind.effect() != Effect.ONCE || !anyRepeatable)) {
                each.remove();
                return slot;
            }
        }
        return null;
    }

    /** Sends a call on a slot, which joins the pool if it was a spare. */
    private void take(double now, Call call, Slot slot) {
        if (slot.target.spare == slot) {
            adopt(now, slot);
        }
        send(now, call, slot);
    }

    /**
     * The lowest-ranked usable slot of the pool, else of those outside it while it may grow; a picky
     * search passes over servers tried already or on trial.
     */
    private Slot lowest(double now, Call call, boolean picky) {
        Slot best = null;
        for (Slot slot : pool) {
            if (!slot.busy && (best == null || order(slot, best) < 0) && mayUse(now, call, slot, picky)) {
                best = slot;
            }
        }
        if (best != null || pool.size() >= CEILING) {
            return best;
        }
        return lower(firstUsable(now, call, nearSpares, picky), firstUsable(now, call, farSpares, picky));
    }

    private Slot firstUsable(double now, Call call, TreeSet<Slot> spares, boolean picky) {
        for (Slot slot : spares) {
            if (mayUse(now, call, slot, picky)) {
                return slot;
            }
        }
        return null;
    }

    private Slot firstSpare() {
        return lower(nearSpares.isEmpty() ? null : nearSpares.first(),
            farSpares.isEmpty() ? null : farSpares.first());
    }

    private Slot lower(Slot a, Slot b) {
        return a == null || b != null && order(b, a) < 0 ? b : a;
    }

    /** The order in which calls take slots: by rank, other zones' put back by what locality is worth. */
    private int order(Slot a, Slot b) {
        int order = Double.compare(orderRank(a), orderRank(b));
        return order != 0 ? order : a.compareTo(b);
    }

    /**
     * Guards against new connections that fail or hang while those that stand are well: slots without one
     * come after those that have one, the further the more connects have failed of late. May do harm
     * where servers come back one by one: they wait until the memory fades, some seconds.
     */
    private double orderRank(Slot slot) {
        return slot.rank + (isFar(slot.target) ? spill : 0)
            + (slot.connected ? 0 : connectFailing * CONNECT_ROUNDS * settings.balancers());
    }

    private boolean isFar(Target target) {
        return target.listed.zone() != settings.ownZone();
    }

    private TreeSet<Slot> sparesOf(Target target) {
        return isFar(target) ? farSpares : nearSpares;
    }

    /**
     * Ranks count the calls of all balancers: if each uses a cold server's low ranks only, together they
     * hold no more calls there than it can do. One call each would flood it where balancers are many.
     */
    private boolean gentle(double now, Slot slot) {
        double warmth = warmth(now, slot.target);
        return warmth >= 1 || formula(slot) < warmth
            * Math.max(FIRST_CALLS, settings.balancers() * relativeWeight(slot.target) / Math.max(1, ready));
    }

    /**
     * Guards against a cascade: calls that leave a server crowded by all must not crowd the next. While
     * answers are slow no server may hold many more calls, over all balancers, than the limit stands for.
     */
    private boolean crowds(Slot slot) {
        return settings.tier() == 0 && pressure > comfort() / 2 && formula(slot)
            >= Math.max(FIRST_CALLS, CASCADE * Math.max(1, limit) * settings.balancers() / ready);
    }

    private boolean mayUse(double now, Call call, Slot slot, boolean picky) {
        Target target = slot.target;
        if (!gentle(now, slot) || call.attempts.isEmpty() && crowds(slot)) {
            return false;
        }
        if (call.mayHaveRun != null && !sameGroup(call, target)) {
            return false;
        }
        if (!picky) {
            return true;
        }
        // A call that cannot be tried again must not be the one to find out whether a server is well.
        if (target.onTrial && call.kind.effect() == Effect.ONCE && anyRepeatable) {
            return false;
        }
        for (Attempt attempt : call.attempts) {
            if (attempt.slot().target == target) {
                return false;
            }
        }
        return true;
    }

    /** Only the group that remembers a keyed call's first run drops its repeat. */
    private static boolean sameGroup(Call call, Target target) {
        if (call.kind.effect() != Effect.BY_KEY || call.kind.group() == Group.ALL) {
            return true;
        }
        Contract.Server first = call.mayHaveRun.slot().target.listed;
        return call.kind.group() == Group.ZONE ? first.zone() == target.listed.zone()
            : first.cell() == target.listed.cell();
    }

    private void send(double now, Call call, Slot slot) {
        double left = call.usefulUntil - now;
        double timeout = left;
        // A hung server must not eat the whole of a call's time while another could still serve it.
        if (call.kind.effect() != Effect.ONCE && call.attempts.size() + 1 < call.tries) {
            double patience = Math.max(call.known.tailMs * PATIENCE, settings.limits().connectTimeoutMs());
            if (left - patience > call.known.typicalMs) {
                timeout = patience;
            }
        }
        Attempt attempt = new Attempt(slot, now, timeout, new Outcome[1]);
        call.attempts.add(attempt);
        call.out++;
        slot.busy = true;
        slot.target.inFlight++;
        inFlight++;
        peak = Math.max(peak, inFlight);
        host.send(call.request.id(), slot.target.id, timeout);
    }

    /** The final answer of a call that cannot be served: a refusal where that is true, else a failure. */
    private void answer(Call call) {
        call.answered = true;
        boolean harmless = call.mayHaveRun == null && call.out == 0
            || call.kind.effect() == Effect.REPEATABLE
            || call.kind.effect() == Effect.BY_KEY && call.kind.group() == Group.ALL;
        if (harmless) {
            host.refuse(call.request.id(), coolDown());
        } else {
            host.fail(call.request.id());
        }
        forget(call);
    }

    /** Told with every refusal, also where few clients are said to heed it: it costs nothing. */
    private double coolDown() {
        return settings.limits().maxCoolDownMs() / 4;
    }

    private void forget(Call call) {
        if (call.answered && call.out == 0) {
            calls.remove(call.request.id());
        }
    }

    // ---- an attempt ends ----

    @Override
    public void onFinished(double now, Finished finished) {
        tick(now);
        Call call = calls.get(finished.request());
        if (call == null || finished.attempt() >= call.attempts.size()) {
            return;
        }
        Attempt attempt = call.attempts.get(finished.attempt());
        if (attempt.end()[0] != null) {
            return;
        }
        attempt.end()[0] = finished.outcome();
        call.out--;
        if (!finished.outcome().neverRan() && call.mayHaveRun == null) {
            call.mayHaveRun = attempt;
        }
        lastEnd = now;
        lastTook = finished.tookMs();
        learn(now, call, attempt, finished);
        judgeCrowding(now, call, attempt, finished);
        release(now, attempt.slot(), finished.outcome(), isFailure(call, finished));
        if (finished.concluded()) {
            call.answered = true;
        } else if (!call.answered && !(mayRetry(now, call, finished.outcome()) && place(now, call))) {
            answer(call);
        }
        forget(call);
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt) {
        tick(now);
        Call call = calls.get(request);
        if (call != null) {
            call.answered = true;
        }
    }

    @Override
    public void onClientGone(double now, String request) {
        tick(now);
        Call call = calls.get(request);
        if (call == null) {
            return;
        }
        call.answered = true;
        // Nobody waits for these attempts any more: work that has not begun need not be done.
        for (int i = 0; i < call.attempts.size() && settings.limits().cancel(); i++) {
            if (call.attempts.get(i).end()[0] == null) {
                host.cancel(request, i);
            }
        }
        forget(call);
    }

    private boolean mayRetry(double now, Call call, Outcome outcome) {
        double left = call.usefulUntil - now;
        Target last = call.attempts.get(call.attempts.size() - 1).slot().target;
        // What was not sent on may go elsewhere only where the server has begun to drain in the meantime.
        if (call.out > 0 || call.attempts.size() >= call.tries || left < call.known.typicalMs / 2
                || outcome == Outcome.IGNORED && !last.forgotten && last.listed.state() == State.READY) {
            return false;
        }
        if (call.mayHaveRun != null) {
            if (call.kind.effect() == Effect.ONCE) {
                return false;
            }
            if (call.kind.effect() == Effect.BY_KEY
                    && now - call.mayHaveRun.sentAt() >= call.kind.windowMs() * 0.9) {
                return false;
            }
        }
        // Retries feed on themselves when all is slow, and multiply from tier to tier.
        if (retriesLeft < 1) {
            return false;
        }
        retriesLeft--;
        return true;
    }

    /** Whether an outcome speaks against the server: a time-out does only if it was a long one. */
    private boolean isFailure(Call call, Finished finished) {
        return switch (finished.outcome()) {
            case FAILED, CONNECT_ERROR, RESET -> true;
            case TIMED_OUT -> finished.tookMs() >= call.known.tailMs;
            default -> false;
        };
    }

    private void learn(double now, Call call, Attempt attempt, Finished finished) {
        Target target = attempt.slot().target;
        double took = finished.tookMs();
        boolean ok = finished.outcome() == Outcome.OK;
        if (!ok && finished.outcome() != Outcome.TIMED_OUT) {
            return;
        }
        double step = took > call.known.tailMs ? TAIL_GAIN * (1 - TAIL_SHARE) : -TAIL_GAIN * TAIL_SHARE;
        call.known.tailMs = Math.min(call.kind.deadlineMs(), call.known.tailMs * Math.exp(step));
        if (warmth(now, target) >= 1) {
            double times = Math.min(took / call.known.typicalMs, SLOWEST);
            target.slowness += SERVER_GAIN * (times - target.slowness);
            reprice(now, target, false);
        }
        if (ok) {
            call.known.answered(took);
        }
    }

    // ---- slots, and the servers' health ----

    private void release(double now, Slot slot, Outcome outcome, boolean failed) {
        Target target = slot.target;
        slot.busy = false;
        target.inFlight--;
        inFlight--;
        if (target.forgotten) {
            return;
        }
        boolean alive = learnConnection(slot, outcome);
        if (alive) {
            drop(slot);
            pause(now, target, settings.limits().connectTimeoutMs() * 2);
        } else if (failed && !blamedOnShared()) {
            drop(slot);
            if (fails(target, outcome)) {
                strike(now, target);
            }
            offer(now, target);
        } else if (outcome == Outcome.OK) {
            target.failing -= FAILING_GAIN * target.failing;
            // Only an answer shows that a server is well: one that hangs ends calls too, by time-outs.
            recover(now, target);
        }
        if (outcome == Outcome.QUEUE_FULL) {
            fullServers++;
            // It is crowded, not sick: the slot is discarded, and no other taken there for a while.
            drop(slot);
            pause(now, target, settings.limits().connectTimeoutMs());
        }
        if (slot.discarded && target.held == 0 && target.inFlight == 0) {
            host.disconnect(target.id);
            forgetGone(now, target);
        }
    }

    /**
     * Keeps what a slot's connection is like. True if only the connect failed: other connections to the
     * server stand, so the first such failure says nothing of the server itself.
     */
    private boolean learnConnection(Slot slot, Outcome outcome) {
        if (!slot.connected && outcome != Outcome.CANCELED && outcome != Outcome.IGNORED) {
            double failed = outcome == Outcome.CONNECT_ERROR ? 1 : 0;
            connectFailing += CONNECT_GAIN * (failed - connectFailing);
        }
        slot.connected = outcome == Outcome.OK || outcome == Outcome.FAILED || outcome == Outcome.QUEUE_FULL;
        if (outcome == Outcome.OK) {
            slot.target.connectFailed = false;
        }
        if (outcome != Outcome.CONNECT_ERROR || slot.target.connectFailed) {
            return false;
        }
        for (Slot other : pool) {
            if (other != slot && other.target == slot.target && other.connected) {
                slot.target.connectFailed = true;
                return true;
            }
        }
        return false;
    }

    /** When half of all servers look bad, something they share is: giving them up would leave none. */
    private boolean blamedOnShared() {
        return ailing * 2 > ready;
    }

    /**
     * Guards against trials by chance: where a few of all answers come to nothing whoever sends them, one
     * that did says little of its server. A time-out or a failed connect does: they are seldom by chance.
     */
    private static boolean fails(Target target, Outcome outcome) {
        target.failing += FAILING_GAIN * (1 - target.failing);
        return target.onTrial || outcome != Outcome.FAILED && outcome != Outcome.RESET
            || target.failing > FAILING_SHARE;
    }

    /** A failure: the server pauses, longer each time; at the second in a row it loses all its slots. */
    private void strike(double now, Target target) {
        target.strikes = Math.min(target.strikes + 1, MOST_DOUBLINGS);
        target.trialAnswers = 0;
        if (!target.onTrial) {
            target.onTrial = true;
            ailing++;
            ejections++;
        }
        pause(now, target, settings.limits().connectTimeoutMs() * (1 << target.strikes));
        if (target.strikes > 1) {
            dropAll(target);
        }
    }

    private void pause(double now, Target target, double ms) {
        if (target.pausedUntil <= now) {
            paused.add(target);
        }
        target.pausedUntil = Math.max(target.pausedUntil, now + ms);
        offer(now, target);
    }

    private void recover(double now, Target target) {
        if (!target.onTrial) {
            target.strikes = 0;
            return;
        }
        if (++target.trialAnswers >= 1 << Math.min(target.strikes, 3)) {
            target.onTrial = false;
            ailing--;
            target.strikes /= 2;
            offer(now, target);
        }
    }

    /** Takes a spare slot into the pool and offers the server's next. */
    private void adopt(double now, Slot slot) {
        Target target = slot.target;
        sparesOf(target).remove(slot);
        target.spare = null;
        target.held |= 1L << slot.number;
        pool.add(slot);
        offer(now, target);
    }

    /** Takes a slot out of the pool; the last one's idle connections are closed with it. */
    private void drop(Slot slot) {
        if (slot.discarded) {
            return;
        }
        slot.discarded = true;
        pool.remove(slot);
        slot.target.held &= ~(1L << slot.number);
        if (slot.target.held == 0 && slot.target.inFlight == 0) {
            host.disconnect(slot.target.id);
        }
    }

    /** Puts the server's lowest slot outside the pool into the index, or none if it may have no more. */
    private void offer(double now, Target target) {
        if (target.spare != null) {
            sparesOf(target).remove(target.spare);
            target.spare = null;
        }
        int most = target.onTrial || warmth(now, target) < 1 ? 1 : SLOTS_PER_SERVER;
        if (target.forgotten || target.listed.state() != State.READY || now < target.pausedUntil
                || Long.bitCount(target.held) >= most || target.onTrial && target.inFlight > 0) {
            return;
        }
        Slot slot = new Slot(target, Long.numberOfTrailingZeros(~target.held));
        slot.rank = rank(slot);
        target.spare = slot;
        sparesOf(target).add(slot);
    }

    /** Moves a server's slots up or down by what it can do: slow, small or cold ones get fewer calls. */
    private void reprice(double now, Target target, boolean always) {
        double cost = Math.max(FASTEST, target.slowness);
        if (!always && cost < target.cost * REPRICE && cost > target.cost / REPRICE) {
            return;
        }
        target.cost = cost;
        if (target.held != 0) {
            for (Slot slot : pool) {
                if (slot.target == target) {
                    slot.rank = rank(slot);
                }
            }
        }
        offer(now, target);
    }

    /** The formula's rank times the server's cost, which hardly moves the lowest: all move back a little. */
    private double rank(Slot slot) {
        return (formula(slot) + 0.5) * slot.target.cost
            + Math.max(0, slot.target.cost - 1) * settings.balancers() * STEP_BACK;
    }

    /**
     * The design's rank: how many calls the server holds if every balancer uses its slots up to this one.
     * A larger server takes more calls for the same crowding.
     */
    private double formula(Slot slot) {
        int balancers = settings.balancers();
        return slot.number * balancers / relativeWeight(slot.target)
            + (settings.ownNumber() + slot.target.place) % balancers;
    }

    private double relativeWeight(Target target) {
        return settings.weighted() && target.listed.weight() > 0 ? target.listed.weight() / meanWeight : 1;
    }

    /**
     * Where a server stands on this balancer's ring. Where balancers outnumber servers they use several
     * rings in turn, each with the servers in another order: those that leave a full, slow or cold server
     * then go to several others, and not all to the next one, which would be the next to crowd.
     */
    private long ringOrder(Target target) {
        int rings = Integer.highestOneBit(Math.max(1, settings.balancers() / Math.max(1, ready)));
        long scatter = 1;
        for (int i = settings.ownNumber() % rings; i > 0; i--) {
            scatter *= RING_MIX;
        }
        return target.hash * scatter & 0xffffffffL;
    }

    /**
     * Gives each zone's ready servers their places on the ring of balancers: in its order, each with an
     * arc as wide as its weight. Places taken from the hash alone would leave arcs of very unequal width,
     * and where balancers are many and have few calls, each puts nearly all on the server whose arc it is in.
     */
    private void place(List<Target> inOrder) {
        Map<Integer, Double> weights = new HashMap<>();
        for (Target target : inOrder) {
            weights.merge(target.listed.zone(), relativeWeight(target), Double::sum);
        }
        Map<Integer, Double> before = new HashMap<>();
        for (Target target : inOrder) {
            int zone = target.listed.zone();
            double upTo = before.getOrDefault(zone, 0.0);
            target.place = settings.balancers() * (1 - upTo / weights.get(zone));
            before.put(zone, upTo + relativeWeight(target));
        }
    }

    /** Learns how many calls are usually out at once, and from it where other zones' slots begin. */
    private void learnUsual(double now) {
        double elapsed = now - lastRefill;
        lastRefill = now;
        double atOnce = demandMs / Math.max(elapsed, 1);
        demandMs = 0;
        double pauses = Math.min(elapsed / refillPause(), CALM_PAUSES);
        // A sudden flood must not pass for usual: it counts for twice the usual at most.
        atOnce = usual == 0 ? atOnce : Math.min(atOnce, 2 * usual + 1);
        usual += (usual == 0 ? 0.1 : pauses / CALM_PAUSES) * (atOnce - usual);
        locality = nearCrowding > farCrowding + SPILL_MARGIN * settings.crossZonePrice()
            ? locality * SPILL_CUT
            : Math.min(1, locality + SPILL_REGAIN);
        // What other zones are like is known only from calls sent there: old news fades to the best.
        farCrowding *= 1 - pauses / CALM_PAUSES;
        spill = readyInZone == 0 ? 0
            : locality * SPILL * (usual + 1) * settings.balancers() / readyInZone;
    }

    private double refillPause() {
        return settings.limits().connectTimeoutMs() / 2;
    }

    /** The share of its full work that a server can surely do: it grows evenly from its start on. */
    private double warmth(double now, Target target) {
        double started = target.listed.startedMs();
        double coldMs = settings.rules().coldMs();
        if (started <= 0 || coldMs <= 0 || now - started >= coldMs) {
            return 1;
        }
        double share = settings.rules().coldShare();
        return share + (1 - share) * Math.max(0, now - started) / coldMs;
    }

    /** What Boxcar does in the background: refill toward lower ranks, a pause between tries. */
    private void tick(double now) {
        if (now < nextRefill) {
            return;
        }
        nextRefill = now + refillPause();
        learnUsual(now);
        connectFailing *= CONNECT_FADE;
        report(now);
        for (int i = paused.size() - 1; i >= 0; i--) {
            if (paused.get(i).pausedUntil <= now) {
                offer(now, paused.remove(i));
            }
        }
        for (int i = cold.size() - 1; i >= 0; i--) {
            Target target = cold.get(i);
            if (warmth(now, target) >= 1) {
                cold.remove(i);
            }
            reprice(now, target, false);
        }
        double size = Math.min(CEILING, Math.max(FLOOR, Math.ceil(peak * HEADROOM)));
        peak = Math.max(inFlight, peak * PEAK_DECAY);
        while (pool.size() < size && firstSpare() != null) {
            adopt(now, firstSpare());
        }
        for (Slot worst = worstFree(); worst != null; worst = worstFree()) {
            boolean fits = pool.size() <= size;
            if (fits && (firstSpare() == null || order(firstSpare(), worst) >= 0)) {
                return;
            }
            drop(worst);
            offer(now, worst.target);
            if (fits) {
                adopt(now, firstSpare());
            }
        }
    }

    /** Tells the operators what the last while was like, if there was anything to tell. */
    private void report(double now) {
        if (now < nextReport) {
            return;
        }
        if (turnedAway + fullServers + ejections > 0) {
            host.log("tier " + settings.tier() + ": " + turnedAway + " calls turned away at a limit of "
                + Math.round(limit) + " at once, " + fullServers + " attempts met a full server, "
                + ejections + " times a server was put on trial; " + ailing + " of " + ready
                + " on trial now");
        }
        turnedAway = fullServers = ejections = 0;
        nextReport = now + REPORT_MS;
    }

    private Slot worstFree() {
        Slot worst = null;
        for (Slot slot : pool) {
            if (!slot.busy && (worst == null || order(slot, worst) > 0)) {
                worst = slot;
            }
        }
        return worst;
    }

    // ---- the list ----

    @Override
    public void onServers(double now, ListKind kind, List<Contract.Server> entries) {
        if (kind == ListKind.FAILED) {
            askForList(settings.rules().askWithinMs()
                * Math.min(Math.max(FIRST_ASK_PAUSE, askFailures++), MOST_ASK_PAUSES));
            return;
        }
        askFailures = 0;
        if (kind != ListKind.DELTA) {
            Map<String, Contract.Server> named = new HashMap<>();
            for (Contract.Server entry : entries) {
                named.put(entry.id(), entry);
            }
            for (Target target : List.copyOf(targets.values())) {
                if (!named.containsKey(target.id)) {
                    update(now, target.told.withState(State.GONE));
                }
            }
        }
        for (Contract.Server entry : entries) {
            update(now, entry);
        }
        arrange(now);
    }

    @Override
    public void onDisabled(double now, Set<String> servers) {
        Set<String> before = disabled;
        disabled = Set.copyOf(servers);
        owed.keySet().removeAll(disabled);
        // In this time a call of each balancer takes half of what a cold server may get from all of them.
        double within = 2 * settings.balancers() * Arrays.stream(learned).mapToDouble(k -> k.typicalMs).max()
            .orElse(0) / (settings.rules().coldShare() * settings.rules().tipMultiple());
        for (Target target : List.copyOf(targets.values())) {
            if (before.contains(target.id) && !disabled.contains(target.id)) {
                // It was taken out to be mended: what was learned before says nothing now.
                heal(target);
                owed.put(target.id, now + within * random.nextDouble());
            }
            update(now, target.told);
        }
        arrange(now);
    }

    @Override
    public void onSettings(double now, Settings next) {
        take(next);
        arrange(now);
    }

    /** Counts what may be used, and gives each server its place. */
    private void arrange(double now) {
        double weights = 0;
        ready = 0;
        readyInZone = 0;
        known.clear();
        for (Target target : targets.values()) {
            if (target.listed.state() == State.READY) {
                ready++;
                known.add(target);
                readyInZone += target.listed.zone() == settings.ownZone() ? 1 : 0;
                weights += target.listed.weight();
            }
        }
        if (limit == 0) {
            limit = Math.min(CEILING, Math.max(1, FIRST_CALLS * ready / settings.balancers()));
            quickUntil = 2 * limit;
        }
        meanWeight = ready == 0 || weights <= 0 ? 1 : weights / ready;
        known.sort(Comparator.comparingLong(this::ringOrder).thenComparing(t -> t.id));
        place(known);
        for (Slot slot : pool) {
            slot.rank = rank(slot);
        }
        for (Target target : known) {
            offer(now, target);
        }
    }

    private void update(double now, Contract.Server entry) {
        Target target = targets.get(entry.id());
        if (target != null && entry.startedMs() != target.listed.startedMs()) {
            // A new process: nothing of its forerunner counts, not even how the calls still out there end.
            dropAll(target);
            forget(now, target);
            target = null;
        }
        if (target == null) {
            if (entry.state() == State.GONE) {
                return;
            }
            target = new Target(entry);
            targets.put(entry.id(), target);
        }
        target.told = entry;
        target.listed = entry.state() != State.READY || !disabled.contains(target.id) ? entry
            : entry.withState(State.DRAINING);
        if (warmth(now, target) < 1 && !cold.contains(target)) {
            cold.add(target);
        }
        if (target.listed.state() != State.READY) {
            dropAll(target);
        }
        reprice(now, target, true);
        forgetGone(now, target);
    }

    private void heal(Target target) {
        if (target.onTrial) {
            target.onTrial = false;
            ailing--;
        }
        target.strikes = 0;
        target.failing = 0;
        target.pausedUntil = 0;
        target.slowness = 1;
        target.lastAnswer = 0;
        target.crowding = 0;
        target.answerGapMs = 0;
    }

    private void dropAll(Target target) {
        for (int i = pool.size() - 1; i >= 0; i--) {
            if (pool.get(i).target == target) {
                drop(pool.get(i));
            }
        }
    }

    private void forgetGone(double now, Target target) {
        if (target.listed.state() == State.GONE && target.inFlight == 0) {
            forget(now, target);
        }
    }

    /** From here on the server is none of this balancer's; ends of calls there only free what they held. */
    private void forget(double now, Target target) {
        heal(target);
        target.forgotten = true;
        offer(now, target);
        targets.remove(target.id);
        paused.remove(target);
        cold.remove(target);
    }

    // ---- asking for the list ----

    /** Asks at a random time: balancers that start or fail together must not ask together. */
    private void askForList(double withinMs) {
        host.timer(random.nextDouble() * withinMs, ASK_TIMER);
    }

    @Override
    public void onTimer(double now, long name) {
        tick(now);
        if (name == ASK_TIMER) {
            host.subscribe();
        }
    }
}
