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
import martenlatch.fleet.link.LinkObserver;
import martenlatch.fleet.link.LoopbackAddresses;
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

/** Runs a scenario with real processes; each link between them is a relay. */
public final class FleetRun implements Closeable {

    private static final Logger LOG = LoggerFactory.getLogger(FleetRun.class);
    private static final int MAX_EVENTS = 10_000_000;
    private static final int CONNECTIONS = 4096;
    private static final long START_TIMEOUT_MS = 60_000;
    /**
     * A sidecar drains for up to 3.7 s, before which the platform does not kill it; a busy machine takes longer.
     */
    private static final long END_TIMEOUT_MS = 15_000;
    /** Time after SIGTERM during which new connections still arrive, as on the platform. */
    private static final double ROUTED_AFTER_SIGTERM_MS = 300;
    /** Time for which a previous discovery address still responds, as other sidecars reload their files later. */
    private static final long OLD_DISCOVERY_CLOSE_MS = 500;
    /** Interval at which the rig checks how late its own threads run. */
    private static final long CHECK_INTERVAL_MS = 5;

    private static final double MAX_LATENESS_MS = 20;
    /** Any port works, because each sidecar has its own loopback address. */
    private static final int PEER_PORT = 7946;

    private final Scenario scenario;
    private final DeployFile deploy;
    private final History history = new History(System::nanoTime, MAX_EVENTS);
    private final Reaper reaper;
    private final MultiThreadIoEventLoopGroup group;
    private final World world;
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<StreamLink> clientLinks = new ArrayList<>();
    private final Map<String, StreamLink> links = new HashMap<>();
    private final Front front;
    private final ScheduledExecutorService faultScheduler;
    private final Set<Fault> active = new HashSet<>();
    private final LinkFaults linkFaults = new LinkFaults();
    private final LoopbackAddresses addresses =
            new LoopbackAddresses(ProcessHandle.current().pid());
    private final Map<String, InetSocketAddress> discoveryViews = new HashMap<>();
    /** The endpoint list in each sidecar's configuration at its first start. */
    private final Map<String, String> firstLists = new HashMap<>();

    private final List<StreamLink> previousDiscoveryLinks = new ArrayList<>();
    private final Map<String, Boolean> expectedToEnd = new ConcurrentHashMap<>();
    private final List<SidecarProcess> twins = new ArrayList<>();
    private DatagramLinks peers;
    private volatile LoadRun load;

    /**
     * Starts everything that the scenario names; if that fails, stops what was started.
     *
     * @param parent the directory in which the run's own directory is created
     */
    public FleetRun(Scenario scenario, DeployFile deploy, Path parent) throws IOException {
        this.scenario = scenario;
        DeployFile built = deploy.withJar(deploy.jar());
        this.deploy = scenario.sizes().peers() ? built.withArgument("--peers") : built;
        for (Fault fault : scenario.faults()) {
            if (!fault.jar().isEmpty()) {
                this.deploy.withJar(Path.of(fault.jar()));
            }
        }
        reaper = Reaper.begin(parent);
        group = new MultiThreadIoEventLoopGroup(2, new DefaultThreadFactory("links", true), NioIoHandler.newFactory());
        faultScheduler = Executors.newSingleThreadScheduledExecutor(new DefaultThreadFactory("faults", true));
        front = new Front(scenario.sizes().sidecars(), scenario.load().skew(), scenario.seedFor("front"));
        world = new World(scenario.world(), 0, new Ledger(scenario.world().ids(), new EndpointRecorder()));
        try {
            world.endpoints().forEach(one -> recordStarted(one, 0));
            build();
            start();
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private void recordStarted(Endpoint endpoint, double coldMs) {
        history.record(What.ENDPOINT_UP, endpoint.id(), "", "", String.valueOf(coldMs));
    }

    /** Records what endpoints see in the history. */
    private final class EndpointRecorder implements Ledger.Observer {
        @Override
        public void ran(String endpoint, String id, boolean cold) {
            history.record(What.RAN, endpoint, "", id, cold ? "cold" : "");
        }

        @Override
        public void turnedAway(String endpoint, String id) {
            history.record(What.TURNED_AWAY, endpoint, "", id, "");
        }

        @Override
        public void answered(String endpoint, String id) {
            history.record(What.ANSWERED, endpoint, "", id, "");
        }
    }

    /** Observes links whose requests are already in the history, or that carry none; records late forwarding only. */
    private final LinkObserver latenessObserver = new LinkObserver() {
        @Override
        public void onRequest(String from, String to, String id) {
            return;
        }

        @Override
        public void onLate(double ms) {
            if (ms > MAX_LATENESS_MS) {
                history.record(What.RIG, "link", "", "", String.valueOf(ms));
            }
        }
    };

    /** Records what discovery does in the history. */
    private final Discovery.Observer discoveryRecorder = new Discovery.Observer() {
        @Override
        public void told(String viewer, Endpoint endpoint, String state) {
            history.record(What.TOLD, viewer, endpoint.id(), "", state);
        }

        @Override
        public void called(String viewer, boolean refused) {
            history.record(What.LIST_CALL, viewer, "discovery", "", refused ? "refused" : "answered");
        }

        @Override
        public void changed(Endpoint endpoint, String state) {
            history.record(What.CHANGED, "discovery", endpoint.id(), "", state);
        }
    };

    private void build() throws IOException {
        LinkObserver watch = new LinkObserver() {
            @Override
            public void onRequest(String from, String to, String id) {
                history.record(What.SENT, from, to, id, "");
            }

            @Override
            public void onLate(double ms) {
                latenessObserver.onLate(ms);
            }
        };
        world.discovery().queue(scenario.discovery().queue());
        world.discovery().responseDuration(scenario.discovery().responseMs());
        world.discovery().listen(discoveryRecorder);
        long seed = scenario.seedFor("links");
        peers = new DatagramLinks(
                (EventLoop) group.next(),
                scenario.sizes().sidecars(),
                addresses,
                seed,
                latenessObserver,
                System::nanoTime);
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
            InetSocketAddress view = world.discovery()
                    .listen(addresses.next(), name, endpoint -> seen.get(endpoint.id()), discoveryRecorder);
            discoveryViews.put(name, view);
            StreamLink discovery = new StreamLink(
                            (EventLoop) group.next(),
                            name,
                            "discovery",
                            view,
                            ++seed,
                            latenessObserver,
                            System::nanoTime)
                    .listen(addresses.next());
            links.put(name + " discovery", discovery);
            InetSocketAddress home = new InetSocketAddress(addresses.next().getAddress(), PEER_PORT);
            peers.setAddress(i, home);
            int number = i;
            sidecars.add(new SidecarProcess(
                    name, addresses.next(), listen -> config(number, listen, home), reaper, new ProcessRecorder()));
        }
        long last = seed;
        for (int i = 0; i < sidecars.size(); i++) {
            SidecarProcess one = sidecars.get(i);
            // The listen address is known only once the process listens, so clients are refused until then.
            findAddressOfLateSidecar(one);
            if (!isLate(one.name())) {
                one.start(deploy);
                history.record(What.PROCESS, one.name(), "", "", "started");
            }
        }
        for (SidecarProcess one : sidecars) {
            if (!isLate(one.name())) {
                one.awaitListening(START_TIMEOUT_MS);
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
                            latenessObserver,
                            System::nanoTime)
                    .listen(addresses.next()));
        }
    }

    /** Returns the endpoint list for a process's configuration. */
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
                new SidecarConfig.Peers(home, peers.peerAddresses(number), peers.broadcastAddress(number)),
                knownList(name));
    }

    private void findAddressOfLateSidecar(SidecarProcess one) throws IOException {
        if (!isLate(one.name())) {
            return;
        }
        // The link needs the sidecar's address before the sidecar runs, so start it once to obtain the address.
        one.start(deploy);
        one.awaitListening(START_TIMEOUT_MS);
        expectedToEnd.put(one.name(), true);
        one.kill();
        try {
            one.awaitEnd(END_TIMEOUT_MS);
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
                one.awaitServing(START_TIMEOUT_MS);
                recordProcess(one, "serves");
                front.setStateAt(i, Front.State.UP, 0);
            }
        }
        LOG.info("{} sidecars serve", sidecars.size());
    }

    /** Records process events in the history, and distinguishes processes that ended without being told to. */
    private final class ProcessRecorder implements SidecarProcess.Watch {
        @Override
        public void line(String name, String line) {
            history.record(What.LOG, name, "", "", line);
        }

        @Override
        public void ended(String name, int status) {
            boolean asked = expectedToEnd.getOrDefault(name, false);
            history.record(What.PROCESS, name, "", "", (asked ? "ended " : "died ") + status);
        }
    }

    /** Plays the scenario to its end and returns the report of the load; events are in {@link #history}. */
    public LoadReport play(Consumer<Second> live) throws IOException, InterruptedException {
        Load wanted = scenario.load();
        // Clients wait slightly past their deadline, so that a response at the last moment still counts.
        List<LoadClass> kinds = wanted.classes().stream()
                .map(Load.ClassSettings::kind)
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
                (loop, maxConnections) -> new FrontDriver(loop, targets, maxConnections, front, history),
                live);
        history.startAt(load.startNanos());
        startLatenessCheck();
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

    /** Stops sending new requests; {@link #play} returns soon. */
    public void stop() {
        if (load != null) {
            load.stop();
        }
    }

    private void at(double ms, Step step) {
        faultScheduler.schedule(
                () -> {
                    try {
                        double lateMs = history.now() - ms;
                        if (lateMs > MAX_LATENESS_MS) {
                            history.record(What.RIG, "faults", "", "", String.valueOf(lateMs));
                        }
                        step.run();
                    } catch (IOException | RuntimeException e) {
                        history.record(What.RIG, "faults", "", "", "failed " + e.getMessage());
                        LOG.error("step of the fault plan failed", e);
                    }
                },
                (long) ((ms - history.now()) * 1000),
                TimeUnit.MICROSECONDS);
    }

    private interface Step {
        void run() throws IOException;
    }

    /** Starts a thread that measures how late this machine schedules threads and records delays in the history. */
    private void startLatenessCheck() {
        Thread thread = new Thread(
                () -> {
                    long due = System.nanoTime();
                    while (!faultScheduler.isShutdown()) {
                        due += TimeUnit.MILLISECONDS.toNanos(CHECK_INTERVAL_MS);
                        long left = due - System.nanoTime();
                        if (left > 0) {
                            LockSupport.parkNanos(left);
                        }
                        double lateMs = (System.nanoTime() - due) / 1e6;
                        if (lateMs > MAX_LATENESS_MS) {
                            history.record(What.RIG, "beat", "", "", String.valueOf(lateMs));
                            due = System.nanoTime();
                        }
                    }
                },
                "beat");
        thread.setDaemon(true);
        thread.start();
    }

    // ---- faults; all run on the single thread of the fault scheduler ----

    private void begin(Fault fault) throws IOException {
        active.add(fault);
        linkFaults.begin(fault);
        history.record(
                What.FAULT_BEGINS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
        LOG.info("fault {} begins: {}", fault.number(), fault);
        switch (fault.what().aim()) {
            case SIDECARS -> {
                for (String name : fault.who()) {
                    begin(fault, number(name));
                }
            }
            case ENDPOINTS -> fault.who().forEach(name -> applyEndpointFault(fault, number(name), true));
            case DISCOVERY ->
                world.discovery()
                        .manner(
                                switch (fault.what()) {
                                    case SILENT -> Discovery.Mode.SILENT;
                                    case DOWN -> Discovery.Mode.DOWN;
                                    default -> Discovery.Mode.WRONG;
                                });
            default -> applyLinkFault(fault, fault.what() == Fault.What.BREAK);
        }
    }

    private void end(Fault fault) throws IOException {
        active.remove(fault);
        linkFaults.end(fault);
        switch (fault.what().aim()) {
            case SIDECARS -> {
                for (String name : fault.who()) {
                    end(fault, number(name));
                }
            }
            case ENDPOINTS -> fault.who().forEach(name -> applyEndpointFault(fault, number(name), false));
            case DISCOVERY -> world.discovery().manner(Discovery.Mode.GOOD);
            default -> applyLinkFault(fault, false);
        }
        history.record(
                What.FAULT_ENDS, String.valueOf(fault.number()), String.join(" ", fault.who()), "", fault.toString());
        LOG.info("fault {} is over", fault.number());
    }

    private static int number(String name) {
        return Integer.parseInt(name.substring(1));
    }

    private void recordProcess(SidecarProcess one, String what) {
        history.record(What.PROCESS, one.name(), "", "", what);
    }

    private void begin(Fault fault, int number) throws IOException {
        SidecarProcess one = sidecars.get(number);
        double now = history.now();
        double notice = now + scenario.load().noticeMs();
        switch (fault.what()) {
            case PAUSE -> {
                pause(one);
                front.setStateAt(number, Front.State.DOWN, notice);
            }
            case CRAWL -> crawl(fault, one);
            case KILL -> {
                leave(one, "killed");
                one.kill();
                clientLinks.get(number).refuse(true);
                front.setStateAt(number, Front.State.DOWN, notice);
            }
            case TERM, RESTART -> {
                leave(one, "told to end");
                one.terminate();
                front.setStateAt(number, Front.State.LEAVING, now + ROUTED_AFTER_SIGTERM_MS);
                if (fault.what() == Fault.What.RESTART) {
                    startAgain(number, fault);
                } else {
                    awaitEnd(number);
                }
            }
            case RELOAD -> {
                if (fault.moves()) {
                    move(one.name());
                }
                one.writeConfig();
                one.reload();
                recordProcess(one, "reloads");
            }
            case TWIN -> {
                SidecarProcess twin = new SidecarProcess(
                        one.name() + "-twin",
                        one.listen(),
                        listen -> config(
                                number, listen, peers.peerAddresses(number).get(number)),
                        reaper,
                        new ProcessRecorder());
                twins.add(twin);
                expectedToEnd.put(twin.name(), true);
                twin.start(deploy);
                recordProcess(twin, "started");
            }
            default -> {}
        }
    }

    private void end(Fault fault, int number) throws IOException {
        SidecarProcess one = sidecars.get(number);
        switch (fault.what()) {
            case PAUSE, CRAWL -> {
                if (fault.what() == Fault.What.PAUSE && one.isAlive() && !one.isStopped()) {
                    history.record(
                            What.RIG,
                            "faults",
                            "",
                            "",
                            "failed " + one.name() + " did not stand still for as long as it should");
                }
                one.resume();
                recordProcess(one, "resumed");
                front.setStateAt(number, Front.State.UP, history.now());
            }
            case KILL, TERM, LATE -> startAgain(number, fault);
            case TWIN ->
                twins.stream()
                        .filter(twin -> twin.name().equals(one.name() + "-twin"))
                        .forEach(SidecarProcess::terminate);
            default -> {}
        }
    }

    /** Moves discovery to another address for this sidecar's next configuration; the previous address closes soon. */
    private void move(String name) {
        StreamLink before = links.get(name + " discovery");
        StreamLink next = new StreamLink(
                        (EventLoop) group.next(),
                        name,
                        "discovery",
                        discoveryViews.get(name),
                        scenario.seedFor("moved " + name + previousDiscoveryLinks.size()),
                        latenessObserver,
                        System::nanoTime)
                .listen(addresses.next());
        next.setConditions(linkFaults.conduct(name, "discovery", true), linkFaults.conduct(name, "discovery", false));
        links.put(name + " discovery", next);
        previousDiscoveryLinks.add(before);
        faultScheduler.schedule(before::close, OLD_DISCOVERY_CLOSE_MS, TimeUnit.MILLISECONDS);
    }

    private void pause(SidecarProcess one) {
        if (one.pause() == SidecarProcess.Stop.STOPPED) {
            recordProcess(one, "paused");
        } else {
            history.record(What.RIG, "faults", "", "", "failed " + one.name() + " was not paused");
        }
    }

    /** Lets the process run for the fault's share of each tenth of a second, and pauses it for the rest. */
    private void crawl(Fault fault, SidecarProcess one) {
        if (!active.contains(fault) || !one.isAlive()) {
            return;
        }
        one.pause();
        recordProcess(one, "crawls");
        faultScheduler.schedule(
                () -> {
                    one.resume();
                    faultScheduler.schedule(
                            () -> crawl(fault, one), (long) (100_000 * fault.share()), TimeUnit.MICROSECONDS);
                },
                (long) (100_000 * (1 - fault.share())),
                TimeUnit.MICROSECONDS);
    }

    private void leave(SidecarProcess one, String what) {
        expectedToEnd.put(one.name(), true);
        recordProcess(one, what);
    }

    /** Refuses clients once the process has ended. */
    private void awaitEnd(int number) {
        SidecarProcess one = sidecars.get(number);
        if (one.isAlive()) {
            faultScheduler.schedule(() -> awaitEnd(number), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        } else {
            clientLinks.get(number).refuse(true);
            front.setStateAt(number, Front.State.DOWN, history.now());
        }
    }

    /** Starts the next process as soon as the previous one has ended. */
    private void startAgain(int number, Fault fault) throws IOException {
        SidecarProcess one = sidecars.get(number);
        if (one.isAlive()) {
            at(history.now() + CHECK_INTERVAL_MS, () -> startAgain(number, fault));
            return;
        }
        clientLinks.get(number).refuse(true);
        front.setStateAt(number, Front.State.DOWN, history.now());
        expectedToEnd.put(one.name(), false);
        one.start(fault.jar().isEmpty() ? deploy : deploy.withJar(Path.of(fault.jar())));
        recordProcess(one, "started");
        awaitServing(number);
    }

    private void awaitServing(int number) {
        SidecarProcess one = sidecars.get(number);
        if (one.serves()) {
            clientLinks.get(number).refuse(false);
            recordProcess(one, "serves");
            front.setStateAt(number, Front.State.UP, history.now());
        } else if (one.isAlive()) {
            faultScheduler.schedule(() -> awaitServing(number), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void applyEndpointFault(Fault fault, int number, boolean begins) {
        Endpoint one = world.endpoints().get(number);
        switch (fault.what()) {
            case DIE, DRAIN -> {
                if (!begins) {
                    world.restart(number);
                    refuse(one, false);
                    recordStarted(one, scenario.world().coldMs());
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

    /** Sets each affected link to the combination of all active faults on it. */
    private void applyLinkFault(Fault changed, boolean broken) {
        for (String from : changed.who()) {
            for (String to : changed.to()) {
                if (Fault.isSidecar(from) && Fault.isSidecar(to)) {
                    peers.setConditions(number(from), number(to), linkFaults.conduct(from, to, true));
                    peers.setConditions(number(to), number(from), linkFaults.conduct(from, to, false));
                    continue;
                }
                StreamLink link = from.equals("clients") ? clientLinks.get(number(to)) : links.get(from + " " + to);
                if (changed.what() == Fault.What.STALL) {
                    stall(link, active.contains(changed));
                    continue;
                }
                link.setConditions(linkFaults.conduct(from, to, true), linkFaults.conduct(from, to, false));
                if (broken) {
                    link.reset();
                }
            }
        }
    }

    private static void stall(StreamLink link, boolean begins) {
        if (begins) {
            link.stall();
        } else {
            link.resetStalled();
        }
    }

    /** Terminates all sidecars and waits until they have drained and ended. */
    private void finish() throws InterruptedException {
        faultScheduler.shutdownNow();
        faultScheduler.awaitTermination(END_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        List<SidecarProcess> all = new ArrayList<>(sidecars);
        all.addAll(twins);
        for (SidecarProcess one : all) {
            expectedToEnd.put(one.name(), true);
            if (one.isAlive()) {
                one.resume();
                one.terminate();
            }
        }
        for (SidecarProcess one : all) {
            if (!one.awaitEnd(END_TIMEOUT_MS)) {
                history.record(What.RIG, "faults", "", "", "failed " + one.name() + " did not end");
            }
        }
    }

    /** Returns the link from clients to a sidecar. */
    StreamLink clientLink(int sidecar) {
        return clientLinks.get(sidecar);
    }

    /** Returns the sidecar with this number. */
    SidecarProcess sidecar(int number) {
        return sidecars.get(number);
    }

    /** Injects a fault into the rig: blocks the links' threads for {@code forMs}, starting after {@code afterMs}. */
    void stallLinks(long afterMs, long forMs) {
        group.forEach(loop -> loop.schedule(
                () -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(forMs)), afterMs, TimeUnit.MILLISECONDS));
    }

    public History history() {
        return history;
    }

    /** Returns the directory with the logs, which exists until {@link #close}. */
    public Path folder() {
        return reaper.folder();
    }

    @Override
    public void close() throws IOException {
        faultScheduler.shutdownNow();
        sidecars.forEach(SidecarProcess::kill);
        twins.forEach(SidecarProcess::kill);
        clientLinks.forEach(StreamLink::close);
        links.values().forEach(StreamLink::close);
        previousDiscoveryLinks.forEach(StreamLink::close);
        if (peers != null) {
            peers.close();
        }
        world.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        reaper.close();
    }
}
