package martenlatch.policy;

import java.util.List;
import java.util.Set;

/**
 * The words a balancer and its host share: settings, servers, requests and outcomes, the events that go in
 * ({@link Events}) and the actions that come out ({@link Actions}). All times are milliseconds on the
 * host's clock, whose zero is of no meaning; durations are milliseconds too.
 */
public final class Contract {

    private Contract() {
    }

    /** What may be done with a request that may have run once already. */
    public enum Effect {
        /** Safe to repeat anywhere and at any time. */
        REPEATABLE,
        /** Repeats are dropped by one group of servers, for the class's window. */
        BY_KEY,
        /** Must never run twice. */
        ONCE
    }

    /** Which servers drop the repeats of a {@link Effect#BY_KEY} request. */
    public enum Group { ALL, ZONE, CELL }

    /** What discovery says of a server. */
    public enum State { GONE, READY, DRAINING }

    /** What kind of list discovery has sent. */
    public enum ListKind { CACHED, FULL, DELTA, FAILED }

    /** How an attempt ended. */
    public enum Outcome {
        OK, FAILED, QUEUE_FULL, TIMED_OUT, CONNECT_ERROR, RESET, CANCELED, IGNORED;

        /** Whether this outcome proves that the server never began the request. */
        public boolean neverRan() {
            return this == QUEUE_FULL || this == CONNECT_ERROR || this == IGNORED;
        }
    }

    /** A class of requests: its time wanted, its time limit, its worth and whether it may be repeated. */
    public record RequestClass(String name, double aimMs, double deadlineMs, double worth, double lateWorth,
            Effect effect, Group group, double windowMs, boolean stream) {
        public RequestClass {
            positive("classes[].aim", aimMs);
            finite("classes[].aim", aimMs);
            positive("classes[].deadline", deadlineMs);
            finite("classes[].deadline", deadlineMs);
            notNegative("classes[].worth", worth);
            finite("classes[].worth", worth);
            notNegative("classes[].lateWorth", lateWorth);
            given("classes[].effect", effect);
            given("classes[].group", group);
            if (effect == Effect.BY_KEY) {
                positive("classes[].window", windowMs);
            }
        }
    }

    /** A tenant: its allowance a second over all balancers, and its share of the service. */
    public record Tenant(String name, double allowancePerSecond, double share) {
        public Tenant {
            notNegative("tenants[].allowance", allowancePerSecond);
            finite("tenants[].allowance", allowancePerSecond);
            notNegative("tenants[].share", share);
        }
    }

    /** What the site permits. */
    public record Limits(int tries, boolean parallelTries, boolean cancel, double maxCoolDownMs,
            double connectTimeoutMs) {
        public Limits {
            positive("limits.tries", tries);
            finite("limits.maxCoolDown", maxCoolDownMs);
            finite("limits.connectTimeout", connectTimeoutMs);
            notNegative("limits.maxCoolDown", maxCoolDownMs);
            positive("limits.connectTimeout", connectTimeoutMs);
        }
    }

    /** The figures of the rules on cold and draining servers. */
    public record Rules(double coldShare, double coldMs, double tipMultiple, double fallMs,
            double drainGraceMs, double askWithinMs) {
        public Rules {
            positive("rules.coldShare", coldShare);
            finite("rules.coldShare", coldShare);
            notNegative("rules.coldMs", coldMs);
            finite("rules.coldMs", coldMs);
            finite("rules.askWithin", askWithinMs);
            positive("rules.tipMultiple", tipMultiple);
            positive("rules.fallMs", fallMs);
            notNegative("rules.drainGrace", drainGraceMs);
            positive("rules.askWithin", askWithinMs);
        }
    }

    /** All that a balancer is told when it starts. */
    public record Settings(int balancers, int ownNumber, int ownZone, int tier, boolean asksForList,
            boolean weighted, double overShareWorth, double crossZonePrice, List<RequestClass> classes,
            List<Tenant> tenants, Limits limits, Rules rules) {
        public Settings {
            positive("balancers", balancers);
            notNegative("ownNumber", ownNumber);
            notNegative("tier", tier);
            notNegative("overShareWorth", overShareWorth);
            notNegative("crossZonePrice", crossZonePrice);
            finite("crossZonePrice", crossZonePrice);
            given("limits", limits);
            given("rules", rules);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            if (classes.isEmpty()) {
                throw new IllegalArgumentException("setting classes is empty: at least one is needed");
            }
        }
    }

    /** One line of discovery's list. A start time of 0 is the distant past. */
    public record Server(String id, int zone, int kind, int cell, double startedMs, State state,
            double weight) {
        public Server {
            given("server.id", id);
            given("server.state", state);
            finite("server.started", startedMs);
            finite("server.weight", weight);
            notNegative("server.weight", weight);
        }

        /** The same server in another state. */
        public Server withState(State next) {
            return new Server(id, zone, kind, cell, startedMs, next, weight);
        }
    }

    /** A request from a client; the deadline is a time on the host's clock. */
    public record Request(String id, int requestClass, int tenant, double deadlineMs, boolean resent) {
        public Request {
            given("request.id", id);
            finite("request.deadline", deadlineMs);
        }
    }

    /** A server's own word on its load; a value it did not report is negative. */
    public record Load(double inFlight) {
        /** No report. */
        public static final Load NONE = new Load(-1);
    }

    /** The end of one attempt; {@code concluded} when the client has had its final answer. */
    public record Finished(String request, int attempt, String server, Outcome outcome, double tookMs,
            boolean concluded, Load load) {
        public Finished {
            given("finished.request", request);
            given("finished.outcome", outcome);
            notNegative("finished.attempt", attempt);
            notNegative("finished.took", tookMs);
            finite("finished.took", tookMs);
        }
    }

    /** What happens to a balancer. Each call carries the host's clock, which never runs backwards. */
    public interface Events {
        /** Discovery has sent a list, or changes to it, or has failed to. */
        void onServers(double now, ListKind kind, List<Server> entries);

        /**
         * The operators have taken these servers out, and no others: from now on each counts as draining,
         * whatever lists say of it, until it is not among them any more.
         */
        void onDisabled(double now, Set<String> servers);

        /** New settings hold for the requests to come; those in hand keep their class and attempts. */
        void onSettings(double now, Settings next);

        /** A client has sent a request; the balancer now owes it one final answer. */
        void onRequest(double now, Request request);

        /** A streamed answer has begun. */
        void onStreamStarted(double now, String request, int attempt);

        /** An attempt has ended. */
        void onFinished(double now, Finished finished);

        /** The client of a request is gone: it is owed nothing any more. */
        void onClientGone(double now, String request);

        /** A timer set by {@link Actions#timer} has come due. */
        void onTimer(double now, long name);
    }

    /** What a balancer has its host do, in the order of the calls. */
    public interface Actions {
        /** Starts the request's next attempt; attempts are numbered from 0. */
        void send(String request, String server, double timeoutMs);

        /** Final answer: turned away, and safe to try again after the cool-down. */
        void refuse(String request, double coolDownMs);

        /** Final answer: failed; nothing is said of its effect. */
        void fail(String request);

        /** Gives up waiting for one attempt. */
        void cancel(String request, int attempt);

        /** Asks for an {@link Events#onTimer}. */
        void timer(double inMs, long name);

        /** Closes the idle connections to a server. */
        void disconnect(String server);

        /** Asks discovery for changes from now on. */
        void subscribe();

        /** A line for the operators. */
        void log(String line);
    }

    private static void positive(String name, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be above 0 but is " + value);
        }
    }

    private static void notNegative(String name, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(name + " must be 0 or more but is " + value);
        }
    }

    private static void finite(String name, double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(name + " must be a finite number but is " + value);
        }
    }

    private static void given(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must be given but is null");
        }
    }
}
