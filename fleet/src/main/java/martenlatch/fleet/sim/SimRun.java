package martenlatch.fleet.sim;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleConsumer;
import martenlatch.fleet.front.Front;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.fleet.scenario.Fault;
import martenlatch.fleet.scenario.LinkFaults;
import martenlatch.fleet.scenario.Load;
import martenlatch.fleet.scenario.Scenario;
import martenlatch.fleet.scenario.Selector.Group;
import martenlatch.fleet.scenario.Sizes;
import martenlatch.load.Arrival;
import martenlatch.load.Arrivals;
import martenlatch.load.LoadClass;
import martenlatch.load.Schedule;
import martenlatch.load.Shape;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointResponse;
import martenlatch.request.ResponseListener;
import martenlatch.world.Discovery.Mode;
import martenlatch.world.EndpointFault;

/**
 * Runs a scenario in simulated time, with the same faults at the same times as a run with real processes, and
 * records a history of the same kind.
 */
public final class SimRun {

    private static final int MAX_EVENTS = 50_000_000;
    /** Time from the start of a process until it serves; a real one takes this long on half a core. */
    private static final double PROCESS_START_MS = 1000;

    private static final double ROUTED_AFTER_SIGTERM_MS = 300;
    private static final double CRAWL_PERIOD_MS = 100;
    /** Clients give up this much after their stated deadline, as in runs with real processes. */
    private static final double CLIENT_GRACE_MS = 250;

    private static final double RETRY_BACKOFF_MS = 100;
    private static final int MAX_BACKOFF_DOUBLINGS = 10;
    private static final double CONNECT_TIMEOUT_MS = 150;
    private static final double MAX_COOL_DOWN_MS = 2000;
    private static final double DEDUPLICATION_WINDOW_MS = 10_000;
    private static final double AFTER_LOAD_MS = 10_000;
    private static final int MAX_ATTEMPTS = 3;

    private final Scenario scenario;
    private final VirtualTime time = new VirtualTime();
    private final History history = new History(time::nanos, MAX_EVENTS);
    private final SimDiscovery discovery;
    private final List<SimEndpoint> endpoints = new ArrayList<>();
    private final List<SimSidecar> sidecars = new ArrayList<>();
    private final SimLink[] toSidecars;
    private final SimLink[] fromSidecars;
    private final Front front;
    private final Set<Fault> active = new LinkedHashSet<>();
    private final LinkFaults linkFaults = new LinkFaults();
    private final Map<String, Integer> classes = new HashMap<>();
    private long tasksRun;

    /** Creates a run that has not begun. */
    public SimRun(Scenario scenario) {
        this.scenario = scenario;
        discovery = new SimDiscovery(
                history,
                time,
                scenario.discovery().queue(),
                scenario.discovery().responseMs());
        Sizes sizes = scenario.sizes();
        for (int i = 0; i < sizes.endpoints(); i++) {
            endpoints.add(new SimEndpoint(
                    Group.ENDPOINT.name(i), time, scenario.world(), history, scenario.seedFor("endpoint " + i)));
            history.record(What.ENDPOINT_UP, Group.ENDPOINT.name(i), "", "", "0.0");
            publish(i, EndpointStatus.READY);
        }
        toSidecars = new SimLink[sizes.sidecars()];
        fromSidecars = new SimLink[sizes.sidecars()];
        front = new Front(sizes.sidecars(), scenario.load().skew(), scenario.seedFor("front"));
        for (Load.ClassSettings one : scenario.load().classes()) {
            classes.put(one.kind().name(), classes.size());
        }
        for (int i = 0; i < sizes.sidecars(); i++) {
            toSidecars[i] = new SimLink(time, scenario.seedFor("to " + i));
            fromSidecars[i] = new SimLink(time, scenario.seedFor("from " + i));
            String name = Group.SIDECAR.name(i);
            sidecars.add(new SimSidecar(
                    name,
                    time,
                    history,
                    discovery,
                    id -> endpoints.get(number(id)),
                    id -> new SimSidecar.LinkPair(
                            linkFaults.conduct(name, id, true), linkFaults.conduct(name, id, false)),
                    settings(i),
                    scenario.discovery().known(),
                    scenario.seedFor("sidecar " + i)));
        }
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private void publish(int number, EndpointStatus state) {
        SimEndpoint one = endpoints.get(number);
        discovery.put(
                new Endpoint(one.id(), number % scenario.sizes().zones().size(), 0, 0, one.startedMs(), state, 1));
    }

    /** Returns a sidecar's settings, with the same values that {@code rig.SidecarConfig} gives to real processes. */
    private BalancerSettings settings(int number) {
        List<RequestClass> kinds = scenario.load().classes().stream()
                .map(one -> new RequestClass(
                        one.kind().name(),
                        one.aimMs(),
                        one.kind().deadlineMs(),
                        one.worth(),
                        0,
                        idempotency(one.kind().effect()),
                        DeduplicationScope.ALL,
                        DEDUPLICATION_WINDOW_MS,
                        false))
                .toList();
        return new BalancerSettings(
                scenario.sizes().sidecars(),
                number,
                number % scenario.sizes().zones().size(),
                0,
                true,
                false,
                1,
                0,
                kinds,
                List.of(),
                new AttemptLimits(MAX_ATTEMPTS, true, true, MAX_COOL_DOWN_MS, CONNECT_TIMEOUT_MS),
                new EndpointRules(
                        1 / scenario.world().coldFactor(),
                        scenario.world().coldMs(),
                        martenlatch.fleet.judge.Rules.TIP_MULTIPLE,
                        martenlatch.fleet.judge.Rules.FALL_MS,
                        scenario.world().drainGraceMs(),
                        scenario.discovery().askWithinMs()));
    }

    private static Idempotency idempotency(LoadClass.Effect effect) {
        return switch (effect) {
            case REPEATABLE -> Idempotency.IDEMPOTENT;
            case KEYED -> Idempotency.IDEMPOTENCY_KEY;
            case UNSAFE -> Idempotency.NON_IDEMPOTENT;
        };
    }

    /** Plays the scenario to its end; {@code live} receives the elapsed milliseconds after each simulated second. */
    public History play(DoubleConsumer live) {
        for (int i = 0; i < sidecars.size(); i++) {
            String name = Group.SIDECAR.name(i);
            if (scenario.faults().stream()
                    .noneMatch(f -> f.what() == Fault.What.LATE && f.who().contains(name))) {
                sidecars.get(i).startServing();
                front.setStateAt(i, Front.State.UP, 0);
            } else {
                sidecars.get(i).kill();
            }
        }
        for (Fault fault : scenario.faults()) {
            time.after(fault.atMs(), () -> begin(fault));
            if (!Double.isInfinite(fault.forMs())) {
                time.after(fault.endMs(), () -> end(fault));
            }
        }
        List<LoadClass> kinds =
                scenario.load().classes().stream().map(Load.ClassSettings::kind).toList();
        Arrivals arrivals = Arrivals.drawn(
                new Schedule(
                        List.of(new Shape.Constant(scenario.load().rate(), scenario.seconds())),
                        true,
                        scenario.seedFor("times")),
                kinds,
                scenario.seedFor("kinds"));
        arrive(arrivals);
        for (double at = 1000; at <= scenario.seconds() * 1000; at += 1000) {
            tasksRun += time.runUntil(at);
            live.accept(at);
        }
        tasksRun += time.runUntil(scenario.seconds() * 1000 + AFTER_LOAD_MS);
        return history;
    }

    /** Returns how many tasks have run so far. */
    public long tasksRun() {
        return tasksRun;
    }

    /** Returns how many requests sidecars still hold; 0 after a complete run. */
    public int openRequests() {
        return sidecars.stream().mapToInt(SimSidecar::pendingRequests).sum();
    }

    // ---- clients ----

    private void arrive(Arrivals arrivals) {
        try {
            Arrival next = arrivals.next();
            if (next != null) {
                time.after(next.intendedNanos() / 1e6 - time.elapsed(), () -> {
                    new ClientOperation(next).attempt();
                    arrive(arrivals);
                });
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** One operation of a client, until it is served or the client gives up. Each attempt is a request of its own. */
    private final class ClientOperation {
        private final Arrival wish;
        private int attempts;

        ClientOperation(Arrival wish) {
            this.wish = wish;
        }

        void attempt() {
            attempts++;
            String id = "w" + wish.number() + "-" + attempts;
            int to = front.pick(time.elapsed(), number -> sidecars.get(number).acceptsRequests());
            SimSidecar sidecar = sidecars.get(to);
            history.record(
                    What.ASKED,
                    "clients",
                    Group.SIDECAR.name(to),
                    id,
                    wish.kind().name() + " " + wish.kind().effect() + " " + wish.deadlineMs());
            ClientAttempt one = new ClientAttempt(id, Group.SIDECAR.name(to));
            if (!sidecar.acceptsRequests()) {
                time.after(2 * SimLink.BASE_LATENCY_MS, () -> one.end("FAILED no connect", Double.NaN));
                return;
            }
            double deadline = time.now() + wish.deadlineMs();
            time.after(wish.deadlineMs() + CLIENT_GRACE_MS, () -> {
                if (one.end("TIMED_OUT", Double.NaN)) {
                    toSidecars[to].send(() -> sidecar.clientGone(id));
                }
            });
            toSidecars[to].send(() -> {
                if (!sidecar.isAlive()) {
                    one.end("FAILED closed", Double.NaN);
                    return;
                }
                sidecar.request(
                        new Request(id, classes.get(wish.kind().name()), 0, deadline, attempts > 1),
                        new ResponseRelay(one, fromSidecars[to]));
            });
            failWhenProcessEnds(sidecar, one);
        }

        /** Registers the attempt so that it fails as soon as the sidecar's process ends. */
        private void failWhenProcessEnds(SimSidecar sidecar, ClientAttempt one) {
            openAttempts.computeIfAbsent(sidecar, s -> new LinkedHashSet<>()).add(one);
            one.over = () -> openAttempts.get(sidecar).remove(one);
        }

        private final class ClientAttempt {
            private final String id;
            private final String sidecar;
            private boolean ended;
            private Runnable over = () -> {};

            ClientAttempt(String id, String sidecar) {
                this.id = id;
                this.sidecar = sidecar;
            }

            boolean end(String how, double coolDownMs) {
                if (ended) {
                    return false;
                }
                ended = true;
                over.run();
                history.record(What.ENDED, "clients", sidecar, id, how);
                boolean harmless = how.startsWith("REFUSED")
                        || how.equals("FAILED no connect")
                        || wish.kind().effect() != LoadClass.Effect.UNSAFE;
                if (!how.startsWith("SERVED")
                        && harmless
                        && attempts <= wish.kind().retries()) {
                    time.after(
                            Double.isNaN(coolDownMs)
                                    ? RETRY_BACKOFF_MS * (1 << Math.min(MAX_BACKOFF_DOUBLINGS, attempts - 1))
                                    : coolDownMs,
                            ClientOperation.this::attempt);
                }
                return true;
            }
        }
    }

    /** Open client attempts by sidecar, in the order they were sent, so that a run is reproducible. */
    private final Map<SimSidecar, Set<ClientOperation.ClientAttempt>> openAttempts = new HashMap<>();

    private record ResponseRelay(ClientOperation.ClientAttempt one, SimLink back) implements ResponseListener {
        @Override
        public void onServed(EndpointResponse answer) {
            back.send(() -> one.end("SERVED", Double.NaN));
        }

        @Override
        public void onInvalidRequest(int status) {
            back.send(() -> one.end("FAILED status " + status, Double.NaN));
        }

        @Override
        public void onRejected(double coolDownMs) {
            back.send(() -> one.end("REFUSED refused 503", coolDownMs > 0 ? coolDownMs : Double.NaN));
        }

        @Override
        public void onFailed() {
            back.send(() -> one.end("FAILED status 502", Double.NaN));
        }
    }

    // ---- faults ----

    private void begin(Fault fault) {
        active.add(fault);
        linkFaults.begin(fault);
        history.record(
                What.FAULT_BEGINS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
        switch (fault.what().aim()) {
            case SIDECARS -> fault.who().forEach(name -> begin(fault, number(name)));
            case ENDPOINTS -> fault.who().forEach(name -> applyEndpointFault(fault, number(name), true));
            case DISCOVERY ->
                discovery.setManner(
                        switch (fault.what()) {
                            case SILENT -> Mode.SILENT;
                            case DOWN -> Mode.DOWN;
                            default -> Mode.WRONG;
                        });
            default -> applyLinkFault(fault);
        }
    }

    private void end(Fault fault) {
        active.remove(fault);
        linkFaults.end(fault);
        switch (fault.what().aim()) {
            case SIDECARS -> fault.who().forEach(name -> end(fault, number(name)));
            case ENDPOINTS -> fault.who().forEach(name -> applyEndpointFault(fault, number(name), false));
            case DISCOVERY -> discovery.setManner(Mode.GOOD);
            default -> applyLinkFault(fault);
        }
        history.record(
                What.FAULT_ENDS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
    }

    private void begin(Fault fault, int number) {
        SimSidecar one = sidecars.get(number);
        double notice = time.elapsed() + scenario.load().noticeMs();
        switch (fault.what()) {
            case PAUSE -> {
                one.pause();
                front.setStateAt(number, Front.State.DOWN, notice);
            }
            case CRAWL -> crawl(fault, one);
            case KILL -> {
                one.kill();
                failOpenAttempts(one);
                front.setStateAt(number, Front.State.DOWN, notice);
            }
            case TERM, RESTART -> {
                front.setStateAt(number, Front.State.LEAVING, time.elapsed() + ROUTED_AFTER_SIGTERM_MS);
                one.terminate(() -> {
                    failOpenAttempts(one);
                    front.setStateAt(number, Front.State.DOWN, time.elapsed());
                    if (fault.what() == Fault.What.RESTART) {
                        start(number);
                    }
                });
            }
            case RELOAD -> {
                if (fault.moves()) {
                    one.moveDiscovery();
                }
            }
            // TWIN (a second process under the same name) has no effect in the simulation.
            default -> {}
        }
    }

    private void failOpenAttempts(SimSidecar one) {
        for (ClientOperation.ClientAttempt waits : List.copyOf(openAttempts.getOrDefault(one, Set.of()))) {
            waits.end("FAILED reset", Double.NaN);
        }
    }

    private void crawl(Fault fault, SimSidecar one) {
        if (active.contains(fault) && one.isAlive()) {
            one.pause();
            time.after(CRAWL_PERIOD_MS * (1 - fault.share()), () -> {
                one.resume();
                time.after(CRAWL_PERIOD_MS * fault.share(), () -> crawl(fault, one));
            });
        }
    }

    private void end(Fault fault, int number) {
        SimSidecar one = sidecars.get(number);
        switch (fault.what()) {
            case PAUSE, CRAWL -> {
                one.resume();
                front.setStateAt(number, Front.State.UP, time.elapsed());
            }
            case KILL, TERM, LATE -> start(number);
            default -> {}
        }
    }

    /** Starts the next process after the start time; tries again later while the previous one is still alive. */
    private void start(int number) {
        SimSidecar one = sidecars.get(number);
        time.after(PROCESS_START_MS, () -> {
            if (one.isAlive()) {
                start(number);
            } else {
                one.start(() -> front.setStateAt(number, Front.State.UP, time.elapsed()));
            }
        });
    }

    private void applyEndpointFault(Fault fault, int number, boolean begins) {
        SimEndpoint one = endpoints.get(number);
        if (fault.what() != Fault.What.DIE && fault.what() != Fault.What.DRAIN) {
            one.setTrouble(
                    !begins
                            ? EndpointFault.NONE
                            : switch (fault.what()) {
                                case HANG -> EndpointFault.HANGS;
                                case ERROR -> EndpointFault.ERRORS;
                                case SLOW -> EndpointFault.SLOW;
                                case RESET -> EndpointFault.RESETS;
                                case HALF -> EndpointFault.HALF;
                                default -> EndpointFault.DEAF;
                            });
        } else if (!begins) {
            one.restart();
            closeIdleConnections(one);
            publish(number, EndpointStatus.READY);
        } else if (fault.what() == Fault.What.DIE) {
            one.die();
            closeIdleConnections(one);
        } else {
            one.drain();
            publish(number, EndpointStatus.DRAINING);
        }
    }

    private void closeIdleConnections(SimEndpoint endpoint) {
        sidecars.forEach(sidecar -> sidecar.closeIdleConnections(endpoint.id()));
    }

    private void applyLinkFault(Fault changed) {
        for (String from : changed.who()) {
            if (from.equals("clients")) {
                changed.to().forEach(to -> clientLink(number(to)));
                continue;
            }
            // Links between sidecars carry no messages in this simulation.
            SimSidecar one = sidecars.get(number(from));
            if (changed.what() == Fault.What.STALL) {
                stallDiscovery(changed, one);
                continue;
            }
            one.onConditionsChanged();
            if (changed.what() == Fault.What.BREAK) {
                changed.to().forEach(one::closeIdleConnections);
            }
        }
    }

    /** Connections to endpoints do not stall in this simulation. */
    private void stallDiscovery(Fault changed, SimSidecar one) {
        if (!changed.to().contains(Group.DISCOVERY.name(0))) {
            return;
        }
        if (active.contains(changed)) {
            one.stallDiscovery();
        } else {
            one.resetStalledConnections();
        }
    }

    private void clientLink(int number) {
        String name = Group.SIDECAR.name(number);
        toSidecars[number].setConditions(linkFaults.conduct("clients", name, true));
        fromSidecars[number].setConditions(linkFaults.conduct("clients", name, false));
    }
}
