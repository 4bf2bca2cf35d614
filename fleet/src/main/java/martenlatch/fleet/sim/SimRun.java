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
 * One run of a scenario in simulated time: the same faults at the same times, and a history of the same
 * kind.
 */
public final class SimRun {

    private static final int MOST_EVENTS = 50_000_000;
    /** From the start of a process until it serves: what one takes on half a core. */
    private static final double START_MS = 1000;

    private static final double LEAVE_MS = 300;
    private static final double CRAWL_MS = 100;
    /** Clients give up so much later than they say, as in runs with real processes. */
    private static final double GRACE_MS = 250;

    private static final double BACK_OFF_MS = 100;
    private static final int MOST_DOUBLINGS = 10;
    private static final double CONNECT_TIMEOUT_MS = 150;
    private static final double MOST_COOL_DOWN_MS = 2000;
    private static final double KEY_WINDOW_MS = 10_000;
    private static final double END_MS = 10_000;
    private static final int TRIES = 3;

    private final Scenario scenario;
    private final VirtualTime time = new VirtualTime();
    private final History history = new History(time::nanos, MOST_EVENTS);
    private final SimDiscovery discovery;
    private final List<SimEndpoint> endpoints = new ArrayList<>();
    private final List<SimSidecar> sidecars = new ArrayList<>();
    private final SimLink[] toSidecars;
    private final SimLink[] fromSidecars;
    private final Front front;
    private final Set<Fault> active = new LinkedHashSet<>();
    private final LinkFaults onLinks = new LinkFaults();
    private final Map<String, Integer> classes = new HashMap<>();
    private long ran;

    /** A run that has not begun. */
    public SimRun(Scenario scenario) {
        this.scenario = scenario;
        discovery = new SimDiscovery(history, time, scenario.discovery().queue());
        Sizes sizes = scenario.sizes();
        for (int i = 0; i < sizes.endpoints(); i++) {
            endpoints.add(new SimEndpoint(
                    Group.ENDPOINT.name(i), time, scenario.world(), history, scenario.seedFor("endpoint " + i)));
            history.tell(What.ENDPOINT_UP, Group.ENDPOINT.name(i), "", "", "0.0");
            list(i, EndpointStatus.READY);
        }
        toSidecars = new SimLink[sizes.sidecars()];
        fromSidecars = new SimLink[sizes.sidecars()];
        front = new Front(sizes.sidecars(), scenario.load().skew(), scenario.seedFor("front"));
        for (Load.ClassOf one : scenario.load().classes()) {
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
                    id -> new SimSidecar.Conducts(onLinks.conduct(name, id, true), onLinks.conduct(name, id, false)),
                    settings(i),
                    scenario.discovery().known(),
                    scenario.seedFor("sidecar " + i)));
        }
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private void list(int number, EndpointStatus state) {
        SimEndpoint one = endpoints.get(number);
        discovery.put(
                new Endpoint(one.id(), number % scenario.sizes().zones().size(), 0, 0, one.startedMs(), state, 1));
    }

    /** What a sidecar would be told; the same figures as {@code rig.SidecarConfig} gives real ones. */
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
                        KEY_WINDOW_MS,
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
                new AttemptLimits(TRIES, true, true, MOST_COOL_DOWN_MS, CONNECT_TIMEOUT_MS),
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

    /** Plays the scenario to its end; {@code live} hears of each second that is over. */
    public History play(DoubleConsumer live) {
        for (int i = 0; i < sidecars.size(); i++) {
            String name = Group.SIDECAR.name(i);
            if (scenario.faults().stream()
                    .noneMatch(f -> f.what() == Fault.What.LATE && f.who().contains(name))) {
                sidecars.get(i).startServing();
                front.believe(i, Front.State.UP, 0);
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
                scenario.load().classes().stream().map(Load.ClassOf::kind).toList();
        Arrivals arrivals = Arrivals.drawn(
                new Schedule(
                        List.of(new Shape.Constant(scenario.load().rate(), scenario.seconds())),
                        true,
                        scenario.seedFor("times")),
                kinds,
                scenario.seedFor("kinds"));
        arrive(arrivals);
        for (double at = 1000; at <= scenario.seconds() * 1000; at += 1000) {
            ran += time.runUntil(at);
            live.accept(at);
        }
        ran += time.runUntil(scenario.seconds() * 1000 + END_MS);
        return history;
    }

    /** Tasks that have run so far. */
    public long ran() {
        return ran;
    }

    /** Requests that sidecars still hold; none when a run is over. */
    public int open() {
        return sidecars.stream().mapToInt(SimSidecar::open).sum();
    }

    // ---- clients ----

    private void arrive(Arrivals arrivals) {
        try {
            Arrival next = arrivals.next();
            if (next != null) {
                time.after(next.intendedNanos() / 1e6 - time.elapsed(), () -> {
                    new Wanted(next).attempt();
                    arrive(arrivals);
                });
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** What a client wants, until it has it or gives up; its tries are requests of their own. */
    private final class Wanted {
        private final Arrival wish;
        private int tries;

        Wanted(Arrival wish) {
            this.wish = wish;
        }

        void attempt() {
            tries++;
            String id = "w" + wish.number() + "-" + tries;
            int to = front.pick(time.elapsed(), number -> sidecars.get(number).takes());
            SimSidecar sidecar = sidecars.get(to);
            history.tell(
                    What.ASKED,
                    "clients",
                    Group.SIDECAR.name(to),
                    id,
                    wish.kind().name() + " " + wish.kind().effect() + " " + wish.deadlineMs());
            One one = new One(id, Group.SIDECAR.name(to));
            if (!sidecar.takes()) {
                time.after(2 * SimLink.BASE_MS, () -> one.end("FAILED no connect", Double.NaN));
                return;
            }
            double deadline = time.now() + wish.deadlineMs();
            time.after(wish.deadlineMs() + GRACE_MS, () -> {
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
                        new Request(id, classes.get(wish.kind().name()), 0, deadline, tries > 1),
                        new Answers(one, fromSidecars[to]));
            });
            awaitDeath(sidecar, one);
        }

        /** A client sees at once that the process it waits for is gone. */
        private void awaitDeath(SimSidecar sidecar, One one) {
            deaths.computeIfAbsent(sidecar, s -> new LinkedHashSet<>()).add(one);
            one.over = () -> deaths.get(sidecar).remove(one);
        }

        private final class One {
            private final String id;
            private final String sidecar;
            private boolean ended;
            private Runnable over = () -> {};

            One(String id, String sidecar) {
                this.id = id;
                this.sidecar = sidecar;
            }

            boolean end(String how, double coolDownMs) {
                if (ended) {
                    return false;
                }
                ended = true;
                over.run();
                history.tell(What.ENDED, "clients", sidecar, id, how);
                boolean harmless = how.startsWith("REFUSED")
                        || how.equals("FAILED no connect")
                        || wish.kind().effect() != LoadClass.Effect.UNSAFE;
                if (!how.startsWith("SERVED")
                        && harmless
                        && tries <= wish.kind().retries()) {
                    time.after(
                            Double.isNaN(coolDownMs)
                                    ? BACK_OFF_MS * (1 << Math.min(MOST_DOUBLINGS, tries - 1))
                                    : coolDownMs,
                            Wanted.this::attempt);
                }
                return true;
            }
        }
    }

    /** Who waits for a sidecar, in the order of asking: a run must repeat. */
    private final Map<SimSidecar, Set<Wanted.One>> deaths = new HashMap<>();

    private record Answers(Wanted.One one, SimLink back) implements ResponseListener {
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
        onLinks.begin(fault);
        history.tell(
                What.FAULT_BEGINS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
        switch (fault.what().aim()) {
            case SIDECARS -> fault.who().forEach(name -> begin(fault, number(name)));
            case ENDPOINTS -> fault.who().forEach(name -> endpoint(fault, number(name), true));
            case DISCOVERY ->
                discovery.manner(
                        switch (fault.what()) {
                            case SILENT -> Mode.SILENT;
                            case DOWN -> Mode.DOWN;
                            default -> Mode.WRONG;
                        });
            default -> links(fault);
        }
    }

    private void end(Fault fault) {
        active.remove(fault);
        onLinks.end(fault);
        switch (fault.what().aim()) {
            case SIDECARS -> fault.who().forEach(name -> end(fault, number(name)));
            case ENDPOINTS -> fault.who().forEach(name -> endpoint(fault, number(name), false));
            case DISCOVERY -> discovery.manner(Mode.GOOD);
            default -> links(fault);
        }
        history.tell(
                What.FAULT_ENDS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
    }

    private void begin(Fault fault, int number) {
        SimSidecar one = sidecars.get(number);
        double notice = time.elapsed() + scenario.load().noticeMs();
        switch (fault.what()) {
            case PAUSE -> {
                one.pause();
                front.believe(number, Front.State.DOWN, notice);
            }
            case CRAWL -> crawl(fault, one);
            case KILL -> {
                one.kill();
                gone(one);
                front.believe(number, Front.State.DOWN, notice);
            }
            case TERM, RESTART -> {
                front.believe(number, Front.State.LEAVING, time.elapsed() + LEAVE_MS);
                one.leave(() -> {
                    gone(one);
                    front.believe(number, Front.State.DOWN, time.elapsed());
                    if (fault.what() == Fault.What.RESTART) {
                        start(number);
                    }
                });
            }
            case RELOAD -> {
                if (fault.moves()) {
                    one.moved();
                }
            }
            // A second process at one name changes nothing here.
            default -> {}
        }
    }

    private void gone(SimSidecar one) {
        for (Wanted.One waits : List.copyOf(deaths.getOrDefault(one, Set.of()))) {
            waits.end("FAILED reset", Double.NaN);
        }
    }

    private void crawl(Fault fault, SimSidecar one) {
        if (active.contains(fault) && one.isAlive()) {
            one.pause();
            time.after(CRAWL_MS * (1 - fault.share()), () -> {
                one.resume();
                time.after(CRAWL_MS * fault.share(), () -> crawl(fault, one));
            });
        }
    }

    private void end(Fault fault, int number) {
        SimSidecar one = sidecars.get(number);
        switch (fault.what()) {
            case PAUSE, CRAWL -> {
                one.resume();
                front.believe(number, Front.State.UP, time.elapsed());
            }
            case KILL, TERM, LATE -> start(number);
            default -> {}
        }
    }

    /** As soon as the process before is gone. */
    private void start(int number) {
        SimSidecar one = sidecars.get(number);
        time.after(START_MS, () -> {
            if (one.isAlive()) {
                start(number);
            } else {
                one.start(() -> front.believe(number, Front.State.UP, time.elapsed()));
            }
        });
    }

    private void endpoint(Fault fault, int number, boolean begins) {
        SimEndpoint one = endpoints.get(number);
        if (fault.what() != Fault.What.DIE && fault.what() != Fault.What.DRAIN) {
            one.trouble(
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
            broken(one);
            list(number, EndpointStatus.READY);
        } else if (fault.what() == Fault.What.DIE) {
            one.die();
            broken(one);
        } else {
            one.drain();
            list(number, EndpointStatus.DRAINING);
        }
    }

    private void broken(SimEndpoint endpoint) {
        sidecars.forEach(sidecar -> sidecar.broken(endpoint.id()));
    }

    private void links(Fault changed) {
        for (String from : changed.who()) {
            if (from.equals("clients")) {
                changed.to().forEach(to -> clientLink(number(to)));
                continue;
            }
            // Sidecars say nothing to one another yet: links between them have nothing to carry.
            SimSidecar one = sidecars.get(number(from));
            one.conductChanged();
            if (changed.what() == Fault.What.BREAK) {
                changed.to().forEach(one::broken);
            }
        }
    }

    private void clientLink(int number) {
        String name = Group.SIDECAR.name(number);
        toSidecars[number].conduct(onLinks.conduct("clients", name, true));
        fromSidecars[number].conduct(onLinks.conduct("clients", name, false));
    }
}
