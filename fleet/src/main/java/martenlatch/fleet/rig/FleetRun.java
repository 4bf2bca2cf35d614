package martenlatch.fleet.rig;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import martenlatch.fleet.front.Front;
import martenlatch.fleet.history.Event.What;
import martenlatch.fleet.history.History;
import martenlatch.fleet.launch.DeployFile;
import martenlatch.fleet.launch.Reaper;
import martenlatch.fleet.launch.SidecarProcess;
import martenlatch.fleet.link.DatagramLinks;
import martenlatch.fleet.link.LinkWatch;
import martenlatch.fleet.link.Loopback;
import martenlatch.fleet.link.StreamLink;
import martenlatch.fleet.scenario.Fault;
import martenlatch.fleet.scenario.LinkFaults;
import martenlatch.fleet.scenario.ListService;
import martenlatch.fleet.scenario.Load;
import martenlatch.fleet.scenario.Scenario;
import martenlatch.fleet.scenario.Selector.Group;
import martenlatch.load.Arrivals;
import martenlatch.load.LoadClass;
import martenlatch.load.LoadPlan;
import martenlatch.load.LoadReport;
import martenlatch.load.LoadRun;
import martenlatch.load.Schedule;
import martenlatch.load.Second;
import martenlatch.load.Shape;
import martenlatch.world.Discovery;
import martenlatch.world.Endpoint;
import martenlatch.world.EndpointFault;
import martenlatch.world.Ledger;
import martenlatch.world.World;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One run of a scenario with real processes, each link between them a relay. */
public final class FleetRun implements Closeable {

    private static final Logger LOG = LoggerFactory.getLogger(FleetRun.class);
    private static final int MOST_EVENTS = 10_000_000;
    private static final int CONNECTIONS = 4096;
    private static final long START_MS = 60_000;
    /**
     * A sidecar drains for up to 3.7 s (the platform kills it no sooner), and a busy machine takes longer.
     */
    private static final long END_MS = 15_000;
    /** New connections go on coming for so long after SIGTERM, as on the platform. */
    private static final double LEAVE_MS = 300;
    /** Where discovery was before a move it still answers for so long, as others read their files later. */
    private static final long MOVED_MS = 500;
    /** So often the rig looks how late it is itself. */
    private static final long BEAT_MS = 5;

    private static final double LATE_MS = 20;
    /** Any would do: each sidecar has a loopback address of its own. */
    private static final int PEER_PORT = 7946;

    private final Scenario scenario;
    private final DeployFile deploy;
    private final History history = new History(System::nanoTime, MOST_EVENTS);
    private final Reaper reaper;
    private final MultiThreadIoEventLoopGroup group;
    private final World world;
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<StreamLink> clientLinks = new ArrayList<>();
    private final Map<String, StreamLink> links = new HashMap<>();
    private final Front front;
    private final ScheduledExecutorService clockwork;
    private final Set<Fault> active = new HashSet<>();
    private final LinkFaults onLinks = new LinkFaults();
    private final Loopback addresses = new Loopback(ProcessHandle.current().pid());
    private final Map<String, InetSocketAddress> views = new HashMap<>();
    /** Each sidecar's list when it was first started, as its configuration has it. */
    private final Map<String, String> firstLists = new HashMap<>();

    private final List<StreamLink> retired = new ArrayList<>();
    private final Map<String, Boolean> mayEnd = new ConcurrentHashMap<>();
    private final List<SidecarProcess> twins = new ArrayList<>();
    private DatagramLinks peers;
    private volatile LoadRun load;

    /**
     * Starts all that the scenario names; where that fails nothing is left behind.
     *
     * @param parent where the run's folder is made
     */
    public FleetRun(Scenario scenario, DeployFile deploy, Path parent) throws IOException {
        this.scenario = scenario;
        DeployFile built = deploy.with(deploy.jar());
        this.deploy = scenario.sizes().peers() ? built.and("--peers") : built;
        for (Fault fault : scenario.faults()) {
            if (!fault.jar().isEmpty()) {
                this.deploy.with(Path.of(fault.jar()));
            }
        }
        reaper = Reaper.begin(parent);
        group = new MultiThreadIoEventLoopGroup(2, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
        clockwork = Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("faults", true));
        front = new Front(scenario.sizes().sidecars(), scenario.load().skew(), scenario.seedFor("front"));
        world = new World(scenario.world(), 0, new Ledger(scenario.world().ids(), new Tally()));
        try {
            world.endpoints().forEach(one -> up(one, 0));
            build();
            start();
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void up(Endpoint endpoint, double coldMs) {
        history.tell(What.ENDPOINT_UP, endpoint.id(), "", "", String.valueOf(coldMs));
    }

    /** What endpoints see goes into the history. */
    private final class Tally implements Ledger.Observer {
        @Override
        public void ran(String endpoint, String id, boolean cold) {
            history.tell(What.RAN, endpoint, "", id, cold ? "cold" : "");
        }

        @Override
        public void turnedAway(String endpoint, String id) {
            history.tell(What.TURNED_AWAY, endpoint, "", id, "");
        }

        @Override
        public void answered(String endpoint, String id) {
            history.tell(What.ANSWERED, endpoint, "", id, "");
        }
    }

    /** Of links whose requests are in the history already, or are none. */
    private final LinkWatch late = new LinkWatch() {
        @Override
        public void request(String from, String to, String id) {
            return;
        }

        @Override
        public void late(double ms) {
            if (ms > LATE_MS) {
                history.tell(What.RIG, "link", "", "", String.valueOf(ms));
            }
        }
    };

    /** What discovery does goes into the history. */
    private final Discovery.Observer lists = new Discovery.Observer() {
        @Override
        public void told(String viewer, Endpoint endpoint, String state) {
            history.tell(What.TOLD, viewer, endpoint.id(), "", state);
        }

        @Override
        public void called(String viewer, boolean refused) {
            history.tell(What.LIST_CALL, viewer, "discovery", "", refused ? "refused" : "answered");
        }

        @Override
        public void changed(Endpoint endpoint, String state) {
            history.tell(What.CHANGED, "discovery", endpoint.id(), "", state);
        }
    };

    private void build() throws IOException {
        LinkWatch watch = new LinkWatch() {
            @Override
            public void request(String from, String to, String id) {
                history.tell(What.SENT, from, to, id, "");
            }

            @Override
            public void late(double ms) {
                late.late(ms);
            }
        };
        world.discovery().queue(scenario.discovery().queue());
        world.discovery().listen(lists);
        long seed = scenario.seedFor("links");
        peers = new DatagramLinks(
                (EventLoop) group.next(), scenario.sizes().sidecars(), addresses, seed, late, System::nanoTime);
        for (int i = 0; i < scenario.sizes().sidecars(); i++) {
            String name = Group.SIDECAR.name(i);
            Map<String, InetSocketAddress> seen = new HashMap<>();
            for (Endpoint endpoint : world.endpoints()) {
                StreamLink link = new StreamLink(
                                (EventLoop) group.next(),
                                name,
                                endpoint.id(),
                                endpoint.address(),
                                ++seed,
                                watch,
                                System::nanoTime)
                        .listen(addresses.next());
                links.put(name + " " + endpoint.id(), link);
                seen.put(endpoint.id(), link.address());
            }
            InetSocketAddress view =
                    world.discovery().listen(addresses.next(), name, endpoint -> seen.get(endpoint.id()), lists);
            views.put(name, view);
            StreamLink discovery = new StreamLink(
                            (EventLoop) group.next(), name, "discovery", view, ++seed, late, System::nanoTime)
                    .listen(addresses.next());
            links.put(name + " discovery", discovery);
            InetSocketAddress home = new InetSocketAddress(addresses.next().getAddress(), PEER_PORT);
            peers.home(i, home);
            int number = i;
            sidecars.add(new SidecarProcess(
                    name, addresses.next(), listen -> config(number, listen, home), reaper, new Processes()));
        }
        long last = seed;
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess one = sidecars.get(i);
            // Where it will listen is known only once it does: until then nobody is let in.
            late(one);
            if (!isLate(one.name())) {
                one.start(deploy);
                history.tell(What.PROCESS, one.name(), "", "", "started");
            }
        }
        for (SidecarProcess one : sidecars) {
            if (!isLate(one.name())) {
                one.awaitListening(START_MS);
            }
        }
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess one = sidecars.get(i);
            clientLinks.add(new StreamLink(
                            (EventLoop) group.next(),
                            "clients",
                            one.name(),
                            one.listen(),
                            ++last,
                            late,
                            System::nanoTime)
                    .listen(addresses.next()));
        }
    }

    /** The list that a process finds in its configuration. */
    private String knownList(String name) {
        if (scenario.discovery().known() == ListService.KnownList.FIRST) {
            return firstLists.computeIfAbsent(name, this::currentList);
        }
        return currentList(name);
    }

    private String currentList(String name) {
        return world.discovery()
                .list(endpoint -> links.get(name + " " + endpoint.id()).address());
    }

    private String config(int number, InetSocketAddress listen, InetSocketAddress home) {
        String name = Group.SIDECAR.name(number);
        return SidecarConfig.of(
                scenario,
                number,
                listen,
                links.get(name + " discovery").address(),
                new SidecarConfig.Peers(home, peers.seenBy(number), peers.all(number)),
                knownList(name));
    }

    private void late(SidecarProcess one) throws IOException {
        if (!isLate(one.name())) {
            return;
        }
        // Its address has to be known to the link before it is there.
        one.start(deploy);
        one.awaitListening(START_MS);
        mayEnd.put(one.name(), true);
        one.kill();
        try {
            one.awaitEnd(END_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isLate(String name) {
        return scenario.faults().stream()
                .anyMatch(f -> f.what() == Fault.What.LATE && f.who().contains(name));
    }

    private void start() throws IOException {
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess one = sidecars.get(i);
            if (isLate(one.name())) {
                clientLinks.get(i).refuse(true);
            } else {
                one.awaitServing(START_MS);
                process(one, "serves");
                front.believe(i, Front.State.UP, 0);
            }
        }
        LOG.info("{} sidecars serve", sidecars.size());
    }

    /** What processes do goes into the history; one that ends unasked is told as such. */
    private final class Processes implements SidecarProcess.Watch {
        @Override
        public void line(String name, String line) {
            history.tell(What.LOG, name, "", "", line);
        }

        @Override
        public void ended(String name, int status) {
            boolean asked = mayEnd.getOrDefault(name, false);
            history.tell(What.PROCESS, name, "", "", (asked ? "ended " : "died ") + status);
        }
    }

    /** Plays the scenario to its end and returns what came of the load; what happened is in the history. */
    public LoadReport play(Consumer<Second> live) throws IOException, InterruptedException {
        Load wanted = scenario.load();
        // Clients wait for a little longer than they say: who answers at the last moment has answered.
        List<LoadClass> kinds = wanted.classes().stream()
                .map(Load.ClassOf::kind)
                .map(kind -> new LoadClass(
                        kind.name(),
                        kind.share(),
                        kind.effect(),
                        kind.bodyBytes(),
                        kind.deadlineMs() + FrontDriver.GRACE_MS,
                        kind.retries()))
                .toList();
        List<InetSocketAddress> targets =
                clientLinks.stream().map(StreamLink::address).toList();
        load = new LoadRun(
                new LoadPlan(targets, 1, CONNECTIONS, 0),
                Arrivals.drawn(
                        new Schedule(
                                List.of(new Shape.Constant(wanted.rate(), scenario.seconds())),
                                true,
                                scenario.seedFor("times")),
                        kinds,
                        scenario.seedFor("kinds")),
                (loop, most) -> new FrontDriver(loop, targets, most, front, history),
                live);
        history.startAt(load.startNanos());
        beat();
        for (Fault fault : scenario.faults()) {
            at(fault.atMs(), () -> begin(fault));
            if (!Double.isInfinite(fault.forMs())) {
                at(fault.endMs(), () -> end(fault));
            }
        }
        LoadReport report = load.run();
        LOG.info("load is over");
        finish();
        return report;
    }

    /** Nothing new is sent from now on; {@link #play} returns soon. */
    public void stop() {
        if (load != null) {
            load.stop();
        }
    }

    private void at(double ms, Step step) {
        clockwork.schedule(
                () -> {
                    try {
                        double late = history.now() - ms;
                        if (late > LATE_MS) {
                            history.tell(What.RIG, "faults", "", "", String.valueOf(late));
                        }
                        step.run();
                    } catch (IOException | RuntimeException e) {
                        history.tell(What.RIG, "faults", "", "", "failed " + e.getMessage());
                        LOG.error("a step of the plan failed", e);
                    }
                },
                (long) ((ms - history.now()) * 1000),
                TimeUnit.MICROSECONDS);
    }

    private interface Step {
        void run() throws IOException;
    }

    /** A thread that does nothing else tells how late this machine lets threads run. */
    private void beat() {
        Thread thread = new Thread(
                () -> {
                    long due = System.nanoTime();
                    while (!clockwork.isShutdown()) {
                        due += TimeUnit.MILLISECONDS.toNanos(BEAT_MS);
                        long left = due - System.nanoTime();
                        if (left > 0) {
                            LockSupport.parkNanos(left);
                        }
                        double late = (System.nanoTime() - due) / 1e6;
                        if (late > LATE_MS) {
                            history.tell(What.RIG, "beat", "", "", String.valueOf(late));
                            due = System.nanoTime();
                        }
                    }
                },
                "beat");
        thread.setDaemon(true);
        thread.start();
    }

    // ---- faults; all on the one thread of the clockwork ----

    private void begin(Fault fault) throws IOException {
        active.add(fault);
        onLinks.begin(fault);
        history.tell(
                What.FAULT_BEGINS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
        LOG.info("fault {} begins: {}", fault.number(), fault);
        switch (fault.what().aim()) {
            case SIDECARS -> {
                for (String name : fault.who()) {
                    begin(fault, number(name));
                }
            }
            case ENDPOINTS -> fault.who().forEach(name -> endpoint(fault, number(name), true));
            case DISCOVERY ->
                world.discovery()
                        .manner(
                                switch (fault.what()) {
                                    case SILENT -> Discovery.Mode.SILENT;
                                    case DOWN -> Discovery.Mode.DOWN;
                                    default -> Discovery.Mode.WRONG;
                                });
            default -> links(fault, fault.what() == Fault.What.BREAK);
        }
    }

    private void end(Fault fault) throws IOException {
        active.remove(fault);
        onLinks.end(fault);
        switch (fault.what().aim()) {
            case SIDECARS -> {
                for (String name : fault.who()) {
                    end(fault, number(name));
                }
            }
            case ENDPOINTS -> fault.who().forEach(name -> endpoint(fault, number(name), false));
            case DISCOVERY -> world.discovery().manner(Discovery.Mode.GOOD);
            default -> links(fault, false);
        }
        history.tell(
                What.FAULT_ENDS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
        LOG.info("fault {} is over", fault.number());
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private void process(SidecarProcess one, String what) {
        history.tell(What.PROCESS, one.name(), "", "", what);
    }

    private void begin(Fault fault, int number) throws IOException {
        SidecarProcess one = sidecars.get(number);
        double now = history.now();
        double notice = now + scenario.load().noticeMs();
        switch (fault.what()) {
            case PAUSE -> {
                pause(one);
                front.believe(number, Front.State.DOWN, notice);
            }
            case CRAWL -> crawl(fault, one);
            case KILL -> {
                leave(one, "killed");
                one.kill();
                clientLinks.get(number).refuse(true);
                front.believe(number, Front.State.DOWN, notice);
            }
            case TERM, RESTART -> {
                leave(one, "told to end");
                one.term();
                front.believe(number, Front.State.LEAVING, now + LEAVE_MS);
                if (fault.what() == Fault.What.RESTART) {
                    again(number, fault);
                } else {
                    awaitEnd(number);
                }
            }
            case RELOAD -> {
                if (fault.moves()) {
                    move(one.name());
                }
                one.writeConfig();
                one.hup();
                process(one, "reloads");
            }
            case TWIN -> {
                SidecarProcess twin = new SidecarProcess(
                        one.name() + "-twin",
                        one.listen(),
                        listen -> config(number, listen, peers.seenBy(number).get(number)),
                        reaper,
                        new Processes());
                twins.add(twin);
                mayEnd.put(twin.name(), true);
                twin.start(deploy);
                process(twin, "started");
            }
            default -> {}
        }
    }

    private void end(Fault fault, int number) throws IOException {
        SidecarProcess one = sidecars.get(number);
        switch (fault.what()) {
            case PAUSE, CRAWL -> {
                if (fault.what() == Fault.What.PAUSE && one.isAlive() && !one.isStopped()) {
                    history.tell(
                            What.RIG,
                            "faults",
                            "",
                            "",
                            "failed " + one.name() + " did not stand still for as long as it should");
                }
                one.resume();
                process(one, "resumed");
                front.believe(number, Front.State.UP, history.now());
            }
            case KILL, TERM, LATE -> again(number, fault);
            case TWIN ->
                twins.stream()
                        .filter(twin -> twin.name().equals(one.name() + "-twin"))
                        .forEach(SidecarProcess::term);
            default -> {}
        }
    }

    /** Discovery is elsewhere for this sidecar from its next configuration on; where it was, it ends soon. */
    private void move(String name) {
        StreamLink before = links.get(name + " discovery");
        StreamLink next = new StreamLink(
                        (EventLoop) group.next(),
                        name,
                        "discovery",
                        views.get(name),
                        scenario.seedFor("moved " + name + retired.size()),
                        late,
                        System::nanoTime)
                .listen(addresses.next());
        next.conduct(onLinks.conduct(name, "discovery", true), onLinks.conduct(name, "discovery", false));
        links.put(name + " discovery", next);
        retired.add(before);
        clockwork.schedule(before::close, MOVED_MS, TimeUnit.MILLISECONDS);
    }

    private void pause(SidecarProcess one) {
        if (one.pause() == SidecarProcess.Stop.STOPPED) {
            process(one, "paused");
        } else {
            history.tell(What.RIG, "faults", "", "", "failed " + one.name() + " was not paused");
        }
    }

    /** Runs for its share of each tenth of a second, and stands for the rest. */
    private void crawl(Fault fault, SidecarProcess one) {
        if (!active.contains(fault) || !one.isAlive()) {
            return;
        }
        one.pause();
        process(one, "crawls");
        clockwork.schedule(
                () -> {
                    one.resume();
                    clockwork.schedule(
                            () -> crawl(fault, one), (long) (100_000 * fault.share()), TimeUnit.MICROSECONDS);
                },
                (long) (100_000 * (1 - fault.share())),
                TimeUnit.MICROSECONDS);
    }

    private void leave(SidecarProcess one, String what) {
        mayEnd.put(one.name(), true);
        process(one, what);
    }

    /** Once it has ended, clients are refused. */
    private void awaitEnd(int number) {
        SidecarProcess one = sidecars.get(number);
        if (one.isAlive()) {
            clockwork.schedule(() -> awaitEnd(number), BEAT_MS, TimeUnit.MILLISECONDS);
        } else {
            clientLinks.get(number).refuse(true);
            front.believe(number, Front.State.DOWN, history.now());
        }
    }

    /** Starts it as soon as the process before has ended. */
    private void again(int number, Fault fault) throws IOException {
        SidecarProcess one = sidecars.get(number);
        if (one.isAlive()) {
            at(history.now() + BEAT_MS, () -> again(number, fault));
            return;
        }
        clientLinks.get(number).refuse(true);
        front.believe(number, Front.State.DOWN, history.now());
        mayEnd.put(one.name(), false);
        one.start(fault.jar().isEmpty() ? deploy : deploy.with(Path.of(fault.jar())));
        process(one, "started");
        awaitServing(number);
    }

    private void awaitServing(int number) {
        SidecarProcess one = sidecars.get(number);
        if (one.serves()) {
            clientLinks.get(number).refuse(false);
            process(one, "serves");
            front.believe(number, Front.State.UP, history.now());
        } else if (one.isAlive()) {
            clockwork.schedule(() -> awaitServing(number), BEAT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void endpoint(Fault fault, int number, boolean begins) {
        Endpoint one = world.endpoints().get(number);
        switch (fault.what()) {
            case DIE, DRAIN -> {
                if (!begins) {
                    world.restart(number);
                    refuse(one, false);
                    up(one, scenario.world().coldMs());
                } else if (fault.what() == Fault.What.DIE) {
                    world.die(number);
                    refuse(one, true);
                } else {
                    world.drain(number);
                }
            }
            default ->
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
        }
    }

    private void refuse(Endpoint endpoint, boolean now) {
        sidecars.forEach(one -> links.get(one.name() + " " + endpoint.id()).refuse(now));
    }

    /** Each link has what all faults on it come to. */
    private void links(Fault changed, boolean broken) {
        for (String from : changed.who()) {
            for (String to : changed.to()) {
                if (Fault.isSidecar(from) && Fault.isSidecar(to)) {
                    peers.conduct(number(from), number(to), onLinks.conduct(from, to, true));
                    peers.conduct(number(to), number(from), onLinks.conduct(from, to, false));
                    continue;
                }
                StreamLink link = from.equals("clients") ? clientLinks.get(number(to)) : links.get(from + " " + to);
                link.conduct(onLinks.conduct(from, to, true), onLinks.conduct(from, to, false));
                if (broken) {
                    link.reset();
                }
            }
        }
    }

    /** Lets all sidecars drain, and waits for their ends. */
    private void finish() throws InterruptedException {
        clockwork.shutdownNow();
        clockwork.awaitTermination(END_MS, TimeUnit.MILLISECONDS);
        List<SidecarProcess> all = new ArrayList<>(sidecars);
        all.addAll(twins);
        for (SidecarProcess one : all) {
            mayEnd.put(one.name(), true);
            if (one.isAlive()) {
                one.resume();
                one.term();
            }
        }
        for (SidecarProcess one : all) {
            if (!one.awaitEnd(END_MS)) {
                history.tell(What.RIG, "faults", "", "", "failed " + one.name() + " did not end");
            }
        }
    }

    /** The clients' link to a sidecar. */
    StreamLink clientLink(int sidecar) {
        return clientLinks.get(sidecar);
    }

    /** One of the processes. */
    SidecarProcess sidecar(int number) {
        return sidecars.get(number);
    }

    /** Plants a fault of the rig's own: the links' threads do nothing else for a time, from that time on. */
    void stallLinks(long afterMs, long forMs) {
        group.forEach(loop -> loop.schedule(
                () -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(forMs)), afterMs, TimeUnit.MILLISECONDS));
    }

    public History history() {
        return history;
    }

    /** Where it keeps logs until it is closed. */
    public Path folder() {
        return reaper.folder();
    }

    @Override
    public void close() throws IOException {
        clockwork.shutdownNow();
        sidecars.forEach(SidecarProcess::kill);
        twins.forEach(SidecarProcess::kill);
        clientLinks.forEach(StreamLink::close);
        links.values().forEach(StreamLink::close);
        retired.forEach(StreamLink::close);
        if (peers != null) {
            peers.close();
        }
        world.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        reaper.close();
    }
}
