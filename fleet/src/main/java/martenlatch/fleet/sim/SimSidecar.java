package martenlatch.fleet.sim;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.SocketException;
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
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.EndpointListAge;
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
 * Simulates one sidecar: the production request tracker, endpoint list gate and discovery watch, on modelled
 * connections that behave as the real ones do. While the sidecar is paused, its events and timers wait.
 */
final class SimSidecar {

    /** Time after SIGTERM until which new requests are accepted, as in {@code sidecar.Sidecar}. */
    private static final double LAST_REQUEST_AFTER_TERM_MS = 2700;

    /** Time after SIGTERM by which every request is answered; the process ends right after it. */
    private static final double LAST_ANSWER_AFTER_TERM_MS = 3400;

    /** The size of a piece of a discovery response; only that it is not 0 has an effect. */
    private static final int RESPONSE_PIECE_BYTES = 100;

    /** The conditions of both directions of a link. */
    record LinkPair(LinkConditions onwards, LinkConditions backwards) {}

    /** The links and idle connections to one endpoint, created on first use. */
    private final class Route {
        private final SimLink onwards;
        private final SimLink backwards;
        private final SimEndpoint endpoint;
        private int idle;

        Route(SimEndpoint endpoint, long seed) {
            this.endpoint = endpoint;
            onwards = new SimLink(time, seed);
            backwards = new SimLink(time, ~seed);
            updateConditions();
        }

        void updateConditions() {
            LinkPair now = linkConditions.apply(endpoint.id());
            onwards.setConditions(now.onwards());
            backwards.setConditions(now.backwards());
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
    private final Map<String, Route> routes = new HashMap<>();
    private final SplittableRandom pollTimingRandom;
    private final SimLink toDiscovery;
    private final SimLink fromDiscovery;
    private final Deque<Runnable> deferred = new ArrayDeque<>();
    /** Callbacks to run when this process ends. */
    private final List<Runnable> endCallbacks = new ArrayList<>();

    /** This process's open connections to discovery. */
    private final List<SimDiscovery.Connection> connections = new ArrayList<>();

    /** The polls on connections to discovery, by connection; each is the last one that was sent there. */
    private final Map<SimDiscovery.Connection, Long> pollsByConnection = new HashMap<>();

    private final List<SimDiscovery.Connection> stalledConnections = new ArrayList<>();

    private RequestTracker requestTracker;
    private boolean paused;
    private boolean alive;
    /** Whether the endpoint list gate has opened: the list is current, or the maximum wait is over. */
    private boolean serving;

    private double terminatedAtMs = Double.POSITIVE_INFINITY;
    private int startCount;
    private EndpointListWatcher watch;
    private final ListService.KnownList knownList;
    /**
     * The list that the next process starts from under {@link ListService.KnownList#FIRST}; null before the first
     * start.
     */
    private EndpointList firstList;
    /** Returns the current conditions of the links to an endpoint or to discovery, by name. */
    private final Function<String, LinkPair> linkConditions;

    SimSidecar(
            String name,
            VirtualTime time,
            History history,
            SimDiscovery discovery,
            Function<String, SimEndpoint> endpoints,
            Function<String, LinkPair> linkConditions,
            BalancerSettings settings,
            ListService.KnownList knownList,
            long seed) {
        this.name = name;
        this.time = time;
        this.history = history;
        this.discovery = discovery;
        this.endpoints = endpoints;
        this.linkConditions = linkConditions;
        this.settings = settings;
        this.knownList = knownList;
        this.seed = seed;
        pollTimingRandom = new SplittableRandom(seed + 3);
        toDiscovery = new SimLink(time, seed + 1);
        fromDiscovery = new SimLink(time, seed + 2);
    }

    boolean isAlive() {
        return alive;
    }

    /** Returns whether new requests are accepted. */
    boolean acceptsRequests() {
        return alive && serving && time.elapsed() < terminatedAtMs + LAST_REQUEST_AFTER_TERM_MS;
    }

    /** Starts a process that serves at once from a current list, as processes do that were started before the run. */
    void startServing() {
        start(() -> {});
        serve();
    }

    /** Starts a process; it serves, and runs {@code serves}, once its endpoint list is current. */
    void start(Runnable serves) {
        alive = true;
        serving = false;
        startCount++;
        terminatedAtMs = Double.POSITIVE_INFINITY;
        paused = false;
        if (firstList == null || knownList == ListService.KnownList.CURRENT) {
            firstList = discovery.list();
        }
        EndpointList known = firstList;
        Scheduler own = new ProcessScheduler();
        RateLimitedLogger rateLimitedLogger =
                new RateLimitedLogger(time, new PrintStream(OutputStream.nullOutputStream()));
        watch = new EndpointListWatcher(
                own,
                new SimDiscoveryTransport(),
                rateLimitedLogger,
                new ConfirmationSchedule(settings.balancerCount(), pollTimingRandom.split()),
                new EndpointListAge(settings),
                () -> PollTiming.next(settings, pollTimingRandom));
        EndpointListGate gate = new EndpointListGate(own, settings, EndpointListGate.DEFAULT_MAX_WAIT_MS, reason -> {
            if (!serving) {
                serve();
                serves.run();
            }
        });
        requestTracker = new RequestTracker(
                own,
                rateLimitedLogger,
                new SimConnections(),
                watch::start,
                settings,
                seed * 31 + startCount,
                known,
                RequestObserver.NONE);
        watch.setListener(gate.wrap(requestTracker), known.version());
    }

    private void serve() {
        serving = true;
        history.record(What.PROCESS, name, "", "", "serves");
    }

    void kill() {
        alive = false;
        startCount++;
        paused = false;
        deferred.clear();
        routes.values().forEach(route -> route.idle = 0);
        history.record(What.PROCESS, name, "", "", "killed");
        endConnections();
    }

    /** Ends the process's connections to discovery and runs the callbacks that wait for its end. */
    private void endConnections() {
        List<SimDiscovery.Connection> ended = List.copyOf(connections);
        connections.clear();
        toDiscovery.send(() -> ended.forEach(discovery::end));
        List<Runnable> all = List.copyOf(endCallbacks);
        endCallbacks.clear();
        all.forEach(Runnable::run);
    }

    /**
     * Handles SIGTERM: deadlines are capped so that every request is answered, then the process ends and
     * {@code gone} runs.
     */
    void terminate(Runnable gone) {
        if (!alive) {
            gone.run();
            return;
        }
        endCallbacks.add(gone);
        if (terminatedAtMs < Double.POSITIVE_INFINITY) {
            // A second SIGTERM changes nothing.
            return;
        }
        terminatedAtMs = time.elapsed();
        history.record(What.PROCESS, name, "", "", "told to end");
        requestTracker.capDeadlines(time.now() + LAST_ANSWER_AFTER_TERM_MS);
        int expectedStart = startCount;
        time.after(LAST_ANSWER_AFTER_TERM_MS + 1, () -> {
            if (expectedStart == startCount) {
                alive = false;
                startCount++;
                routes.values().forEach(route -> route.idle = 0);
                endConnections();
                // As with real processes, clients see their connections end before the end of the process is seen.
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
            // Waiting events arrived before any new one, so they run first.
            int expectedStart = startCount;
            while (!deferred.isEmpty() && expectedStart == startCount && !paused) {
                deferred.poll().run();
            }
        }
    }

    /**
     * Runs an event or timer of the process that was started as number {@code expectedStart}. Drops it if that
     * process has ended, and defers it while the process is paused.
     */
    private void runInProcess(int expectedStart, Runnable work) {
        if (expectedStart != startCount || !alive) {
            return;
        }
        if (paused) {
            deferred.add(() -> runInProcess(expectedStart, work));
        } else {
            work.run();
        }
    }

    /** Accepts a client's request, whose deadline is a time on the simulation's clock. */
    void request(Request request, ResponseListener client) {
        runInProcess(startCount, () -> {
            double latest = terminatedAtMs + LAST_ANSWER_AFTER_TERM_MS - time.elapsed() + time.now();
            Request taken = request.deadlineMs() <= latest
                    ? request
                    : new Request(
                            request.id(), request.classIndex(), request.tenantIndex(), latest, request.clientRetry());
            requestTracker.accept(
                    taken, (server, wait, notAfter, ending) -> send(request.id(), server, notAfter, ending), client);
        });
    }

    /** Called when the client of a request disconnects. */
    void clientGone(String id) {
        runInProcess(startCount, () -> requestTracker.onClientDisconnected(id));
    }

    private final class ProcessScheduler implements Scheduler {
        @Override
        public double now() {
            return time.now();
        }

        @Override
        public Timer after(double ms, Runnable task) {
            int expectedStart = startCount;
            boolean[] cancelled = new boolean[1];
            Timer timer = time.after(
                    ms,
                    () -> runInProcess(expectedStart, () -> {
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

    private final class SimConnections implements EndpointConnections {
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
            Route route = routes.get(server);
            if (route != null) {
                route.idle = 0;
            }
        }
    }

    // ---- attempts ----

    private Route route(String server) {
        return routes.computeIfAbsent(server, id -> new Route(endpoints.apply(id), seed * 1_000_003 + id.hashCode()));
    }

    private final class SimAttempt implements Transport.Attempt {
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
        Route route = route(server);
        SimAttempt sent = new SimAttempt();
        int expectedStart = startCount;
        if (route.idle > 0) {
            route.idle--;
            write(route, id, sent, ending, expectedStart);
            return sent;
        }
        double up = 2 * SimLink.BASE_LATENCY_MS;
        Scheduler.Timer failed = time.after(
                settings.limits().connectTimeoutMs(),
                () -> runInProcess(expectedStart, () -> {
                    if (!sent.written && !sent.over) {
                        sent.over = true;
                        ending.onAttemptFinished(AttemptOutcome.CONNECT_ERROR, null);
                    }
                }));
        if (!route.isCut()) {
            time.after(
                    up,
                    () -> runInProcess(expectedStart, () -> {
                        if (sent.over) {
                            return;
                        }
                        failed.cancel();
                        if (time.now() > notAfter) {
                            sent.over = true;
                            ending.onAttemptFinished(AttemptOutcome.NOT_EXECUTED, null);
                        } else if (route.endpoint.isAlive()) {
                            write(route, id, sent, ending, expectedStart);
                        } else {
                            sent.over = true;
                            ending.onAttemptFinished(AttemptOutcome.CONNECT_ERROR, null);
                        }
                    }));
        }
        return sent;
    }

    private void write(Route route, String id, SimAttempt sent, Transport.AttemptListener ending, int expectedStart) {
        sent.written = true;
        history.record(What.SENT, name, route.endpoint.id(), id, "");
        boolean[] answered = new boolean[1];
        route.onwards.send(() -> route.endpoint.receive(
                id,
                reply -> route.backwards.send(() -> runInProcess(expectedStart, () -> {
                    if (sent.over || answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    sent.over = true;
                    if (reply != SimEndpoint.Reply.RESET) {
                        route.idle++;
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

    // ---- discovery ----

    private final class SimDiscoveryTransport implements DiscoveryTransport {
        private final Map<Long, SimDiscovery.Connection> superseded = new HashMap<>();
        private SimDiscovery.Connection connection = open();

        private SimDiscovery.Connection open() {
            SimDiscovery.Connection opened = new SimDiscovery.Connection(name);
            connections.add(opened);
            return opened;
        }

        private void end(SimDiscovery.Connection ended) {
            connections.remove(ended);
            pollsByConnection.remove(ended);
            toDiscovery.send(() -> discovery.end(ended));
        }

        @Override
        public void send(Poll poll) {
            if (connection.isEnded()) {
                connection = open();
            }
            send(poll, connection);
        }

        @Override
        public void sendBeside(Poll poll) {
            SimDiscovery.Connection own = open();
            superseded.put(poll.number(), own);
            send(poll, own);
        }

        private void send(Poll poll, SimDiscovery.Connection present) {
            int expectedStart = startCount;
            long index = poll.knownVersion().orElse(-1);
            long wait = poll.timing().waitMs();
            pollsByConnection.put(present, poll.number());
            toDiscovery.send(() -> discovery.poll(present, index, wait, new SimDiscovery.Caller() {
                @Override
                public void onPiece() {
                    fromDiscovery.send(() -> runInProcess(
                            expectedStart, () -> watch.onResponseBytes(poll.number(), RESPONSE_PIECE_BYTES)));
                }

                @Override
                public void onList(EndpointList list) {
                    fromDiscovery.send(() -> runInProcess(expectedStart, () -> watch.onList(poll.number(), list)));
                }

                @Override
                public void onRejected() {
                    fromDiscovery.send(
                            () -> runInProcess(expectedStart, () -> watch.onFailure(poll.number(), "status 503")));
                }
            }));
        }

        @Override
        public void abort() {
            end(connection);
            connection = open();
        }

        @Override
        public void useNewConnection(Poll outstanding) {
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

    /** Reloads a configuration that names another discovery address. */
    void moveDiscovery() {
        if (alive) {
            int expectedStart = startCount;
            history.record(What.PROCESS, name, "", "", "reloads");
            runInProcess(expectedStart, watch::onMoved);
        }
    }

    /** Makes the open connections to discovery fall silent. */
    void stallDiscovery() {
        connections.forEach(discovery::stall);
        stalledConnections.addAll(connections);
    }

    /** Resets the connections to discovery that have fallen silent. */
    void resetStalledConnections() {
        List<SimDiscovery.Connection> reset = List.copyOf(stalledConnections);
        stalledConnections.clear();
        int expectedStart = startCount;
        for (SimDiscovery.Connection connection : reset) {
            Long poll = pollsByConnection.remove(connection);
            if (connections.remove(connection)) {
                discovery.reset(connection);
                if (poll != null) {
                    runInProcess(expectedStart, () -> watch.onFailure(poll, new SocketException("Connection reset")));
                }
            }
        }
    }

    /** Called when link conditions change; updates all of this sidecar's links. */
    void onConditionsChanged() {
        LinkPair now = linkConditions.apply(Group.DISCOVERY.name(0));
        toDiscovery.setConditions(now.onwards());
        fromDiscovery.setConditions(now.backwards());
        routes.values().forEach(Route::updateConditions);
    }

    /** Drops the idle connections to an endpoint whose connections have ended. */
    void closeIdleConnections(String endpoint) {
        Route route = routes.get(endpoint);
        if (route != null) {
            route.idle = 0;
        }
    }

    /** Returns how many requests are pending; 0 if the process is not alive. */
    int pendingRequests() {
        return alive ? requestTracker.pendingRequests() : 0;
    }
}
