package martenlatch.fleet.sim;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import martenlatch.discovery.DiscoveryTransport;
import martenlatch.discovery.EndpointListGate;
import martenlatch.discovery.EndpointListWatcher;
import martenlatch.discovery.Poll;
import martenlatch.discovery.PollTiming;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.fleet.scenario.ListService;
import martenlatch.fleet.scenario.Selector.Group;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.request.EndpointConnections;
import martenlatch.request.EndpointList;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.RequestObserver;
import martenlatch.request.RequestTracker;
import martenlatch.request.ResponseListener;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/**
 * A sidecar in simulated time: the program's own decisions, host and watch on discovery; connections behave
 * as the program's do. While it is paused, all that comes to it waits.
 */
final class SimSidecar {

    /** How it drains ({@code sidecar.Sidecar}): the last new request, every answer, its end. */
    private static final double LAST_CALL_MS = 2700;

    private static final double ANSWERED_MS = 3400;

    /** Both directions of a link. */
    record Conducts(LinkConditions onwards, LinkConditions backwards) {}

    /** Links to one endpoint, made when they are first used. */
    private final class Way {
        private final SimLink onwards;
        private final SimLink backwards;
        private final SimEndpoint endpoint;
        private int idle;

        Way(SimEndpoint endpoint, long seed) {
            this.endpoint = endpoint;
            onwards = new SimLink(time, seed);
            backwards = new SimLink(time, ~seed);
            conduct();
        }

        void conduct() {
            Conducts now = conducts.apply(endpoint.id());
            onwards.conduct(now.onwards());
            backwards.conduct(now.backwards());
        }

        boolean isCut() {
            return onwards.isSilent() || backwards.isSilent();
        }
    }

    private final String name;
    private final VirtualTime time;
    private final History history;
    private final SimDiscovery discovery;
    private final Function<String, SimEndpoint> endpoints;
    private final BalancerSettings settings;
    private final long seed;
    private final Map<String, Way> ways = new HashMap<>();
    private final SplittableRandom moves;
    private final SimLink toDiscovery;
    private final SimLink fromDiscovery;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    /** Who waits for this process's end. */
    private final List<Runnable> endings = new ArrayList<>();

    /** This process's connections to discovery. */
    private final List<SimDiscovery.Connection> connections = new ArrayList<>();

    private RequestTracker exchange;
    private boolean paused;
    private boolean alive;
    /** Its endpoint list is current, or it has waited for that for long enough. */
    private boolean serving;

    private double leavesAt = Double.POSITIVE_INFINITY;
    private int life;
    private EndpointListWatcher watch;
    private final ListService.KnownList knownList;
    /** The list that its next process starts from, where that is the first one; null before the first start. */
    private EndpointList firstList;
    /** How links to an endpoint, or to discovery, are at this time. */
    private final Function<String, Conducts> conducts;

    SimSidecar(
            String name,
            VirtualTime time,
            History history,
            SimDiscovery discovery,
            Function<String, SimEndpoint> endpoints,
            Function<String, Conducts> conducts,
            BalancerSettings settings,
            ListService.KnownList knownList,
            long seed) {
        this.name = name;
        this.time = time;
        this.history = history;
        this.discovery = discovery;
        this.endpoints = endpoints;
        this.conducts = conducts;
        this.settings = settings;
        this.knownList = knownList;
        this.seed = seed;
        moves = new SplittableRandom(seed + 3);
        toDiscovery = new SimLink(time, seed + 1);
        fromDiscovery = new SimLink(time, seed + 2);
    }

    boolean isAlive() {
        return alive;
    }

    /** Whether new requests are taken in. */
    boolean takes() {
        return alive && serving && time.elapsed() < leavesAt + LAST_CALL_MS;
    }

    /** Starts as processes do before a run begins: it serves at once, from a list that is current. */
    void startServing() {
        start(() -> {});
        serve();
    }

    /** Starts a process, which serves once its endpoint list is current. */
    void start(Runnable serves) {
        alive = true;
        serving = false;
        life++;
        leavesAt = Double.POSITIVE_INFINITY;
        paused = false;
        if (firstList == null || knownList == ListService.KnownList.CURRENT) {
            firstList = discovery.list();
        }
        EndpointList known = firstList;
        Scheduler own = new OwnTime();
        RateLimitedLogger complaints = new RateLimitedLogger(time, new PrintStream(OutputStream.nullOutputStream()));
        watch = new EndpointListWatcher(own, new Line(), complaints, () -> PollTiming.next(settings, moves));
        EndpointListGate gate = new EndpointListGate(own, settings, EndpointListGate.DEFAULT_MAX_WAIT_MS, reason -> {
            if (!serving) {
                serve();
                serves.run();
            }
        });
        exchange = new RequestTracker(
                own, complaints, new Table(), watch::start, settings, seed * 31 + life, known, RequestObserver.NONE);
        watch.setListener(gate.wrap(exchange), known.version());
    }

    private void serve() {
        serving = true;
        history.record(What.PROCESS, name, "", "", "serves");
    }

    void kill() {
        alive = false;
        life++;
        paused = false;
        waiting.clear();
        ways.values().forEach(way -> way.idle = 0);
        history.record(What.PROCESS, name, "", "", "killed");
        over();
    }

    /** The process is gone, and its connections end with it. */
    private void over() {
        List<SimDiscovery.Connection> ended = List.copyOf(connections);
        connections.clear();
        toDiscovery.send(() -> ended.forEach(discovery::end));
        List<Runnable> all = List.copyOf(endings);
        endings.clear();
        all.forEach(Runnable::run);
    }

    /** Asked to end: every request has its answer in time, and then it is gone. */
    void leave(Runnable gone) {
        if (!alive) {
            gone.run();
            return;
        }
        endings.add(gone);
        if (leavesAt < Double.POSITIVE_INFINITY) {
            // A second SIGTERM changes nothing.
            return;
        }
        leavesAt = time.elapsed();
        history.record(What.PROCESS, name, "", "", "told to end");
        exchange.capDeadlines(time.now() + ANSWERED_MS);
        int mine = life;
        time.after(ANSWERED_MS + 1, () -> {
            if (mine == life) {
                alive = false;
                life++;
                ways.values().forEach(way -> way.idle = 0);
                over();
                // As with real processes: its clients see their connections end before anybody sees it gone.
                time.after(1, () -> history.record(What.PROCESS, name, "", "", "ended 0"));
            }
        });
    }

    void pause() {
        if (alive && !paused) {
            paused = true;
            history.record(What.PROCESS, name, "", "", "paused");
        }
    }

    void resume() {
        if (alive && paused) {
            paused = false;
            history.record(What.PROCESS, name, "", "", "resumed");
            // What waited was read and was due before anything that comes now.
            int mine = life;
            while (!waiting.isEmpty() && mine == life && !paused) {
                waiting.poll().run();
            }
        }
    }

    /** Something comes to this process, or is due in it. */
    private void enter(int mine, Runnable work) {
        if (mine != life || !alive) {
            return;
        }
        if (paused) {
            waiting.add(() -> enter(mine, work));
        } else {
            work.run();
        }
    }

    /** A client's request has come; its deadline is a time on the simulation's clock. */
    void request(Request request, ResponseListener client) {
        enter(life, () -> {
            double latest = leavesAt + ANSWERED_MS - time.elapsed() + time.now();
            Request taken = request.deadlineMs() <= latest
                    ? request
                    : new Request(
                            request.id(), request.classIndex(), request.tenantIndex(), latest, request.clientRetry());
            exchange.accept(
                    taken, (server, wait, notAfter, ending) -> send(request.id(), server, notAfter, ending), client);
        });
    }

    /** Its client has gone away. */
    void clientGone(String id) {
        enter(life, () -> exchange.onClientDisconnected(id));
    }

    private final class OwnTime implements Scheduler {
        @Override
        public double now() {
            return time.now();
        }

        @Override
        public Timer after(double ms, Runnable task) {
            int mine = life;
            boolean[] cancelled = new boolean[1];
            Timer timer = time.after(
                    ms,
                    () -> enter(mine, () -> {
                        if (!cancelled[0]) {
                            task.run();
                        }
                    }));
            return () -> {
                cancelled[0] = true;
                timer.cancel();
            };
        }
    }

    private final class Table implements EndpointConnections {
        @Override
        public void update(EndpointList list) {
            return;
        }

        @Override
        public void withdrawAttempts() {
            return;
        }

        @Override
        public void closeIdleConnections(String server) {
            Way way = ways.get(server);
            if (way != null) {
                way.idle = 0;
            }
        }
    }

    // ---- attempts ----

    private Way way(String server) {
        return ways.computeIfAbsent(server, id -> new Way(endpoints.apply(id), seed * 1_000_003 + id.hashCode()));
    }

    private final class Sent implements Transport.Attempt {
        private boolean written;
        private boolean over;

        @Override
        public boolean giveUp() {
            over = true;
            return written;
        }

        @Override
        public boolean withdraw() {
            if (written || over) {
                return false;
            }
            over = true;
            return true;
        }
    }

    private Transport.Attempt send(String id, String server, double notAfter, Transport.AttemptListener ending) {
        Way way = way(server);
        Sent sent = new Sent();
        int mine = life;
        if (way.idle > 0) {
            way.idle--;
            write(way, id, sent, ending, mine);
            return sent;
        }
        double up = 2 * SimLink.BASE_MS;
        Scheduler.Timer failed = time.after(
                settings.limits().connectTimeoutMs(),
                () -> enter(mine, () -> {
                    if (!sent.written && !sent.over) {
                        sent.over = true;
                        ending.onAttemptFinished(AttemptOutcome.CONNECT_ERROR, null);
                    }
                }));
        if (!way.isCut()) {
            time.after(
                    up,
                    () -> enter(mine, () -> {
                        if (sent.over) {
                            return;
                        }
                        failed.cancel();
                        if (time.now() > notAfter) {
                            sent.over = true;
                            ending.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
                        } else if (way.endpoint.isAlive()) {
                            write(way, id, sent, ending, mine);
                        } else {
                            sent.over = true;
                            ending.onAttemptFinished(AttemptOutcome.CONNECT_ERROR, null);
                        }
                    }));
        }
        return sent;
    }

    private void write(Way way, String id, Sent sent, Transport.AttemptListener ending, int mine) {
        sent.written = true;
        history.record(What.SENT, name, way.endpoint.id(), id, "");
        boolean[] answered = new boolean[1];
        way.onwards.send(() -> way.endpoint.receive(
                id,
                reply -> way.backwards.send(() -> enter(mine, () -> {
                    if (sent.over || answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    sent.over = true;
                    if (reply != SimEndpoint.Reply.RESET) {
                        way.idle++;
                    }
                    switch (reply) {
                        case OK ->
                            ending.onAttemptFinished(
                                    AttemptOutcome.OK, new EndpointResponse(200, false, true, null, new byte[0]));
                        case ERROR -> ending.onAttemptFinished(AttemptOutcome.FAILED, null);
                        case NOT_RUN -> ending.onAttemptFinished(AttemptOutcome.REJECTED_QUEUE_FULL, null);
                        default -> ending.onAttemptFinished(AttemptOutcome.RESET, null);
                    }
                }))));
    }

    // ---- the watch on discovery ----

    private final class Line implements DiscoveryTransport {
        private final Map<Long, SimDiscovery.Connection> superseded = new HashMap<>();
        private SimDiscovery.Connection connection = open();

        private SimDiscovery.Connection open() {
            SimDiscovery.Connection opened = new SimDiscovery.Connection(name);
            connections.add(opened);
            return opened;
        }

        private void end(SimDiscovery.Connection ended) {
            connections.remove(ended);
            toDiscovery.send(() -> discovery.end(ended));
        }

        @Override
        public void send(Poll poll) {
            int mine = life;
            long index = poll.knownVersion().orElse(-1);
            long wait = poll.timing().waitMs();
            SimDiscovery.Connection present = connection;
            toDiscovery.send(() -> discovery.ask(present, index, wait, new SimDiscovery.Caller() {
                @Override
                public void answered(EndpointList list) {
                    fromDiscovery.send(() -> enter(mine, () -> watch.onList(poll.number(), list)));
                }

                @Override
                public void refused() {
                    fromDiscovery.send(() -> enter(mine, () -> watch.onFailure(poll.number(), "status 503")));
                }
            }));
        }

        @Override
        public void abort() {
            end(connection);
            connection = open();
        }

        @Override
        public void switchAddress(Poll outstanding) {
            if (outstanding == null) {
                end(connection);
            } else {
                superseded.put(outstanding.number(), connection);
            }
            connection = open();
        }

        @Override
        public void endSuperseded(long poll) {
            SimDiscovery.Connection ended = superseded.remove(poll);
            if (ended != null) {
                end(ended);
            }
        }
    }

    /** Its configuration is read again, and names another discovery. */
    void moved() {
        if (alive) {
            int mine = life;
            history.record(What.PROCESS, name, "", "", "reloads");
            enter(mine, watch::onMoved);
        }
    }

    /** Links have changed their ways. */
    void conductChanged() {
        Conducts now = conducts.apply(Group.DISCOVERY.name(0));
        toDiscovery.conduct(now.onwards());
        fromDiscovery.conduct(now.backwards());
        ways.values().forEach(Way::conduct);
    }

    /** All connections to an endpoint have ended. */
    void broken(String endpoint) {
        Way way = ways.get(endpoint);
        if (way != null) {
            way.idle = 0;
        }
    }

    /** Requests in hand. */
    int open() {
        return alive ? exchange.pendingRequests() : 0;
    }
}
