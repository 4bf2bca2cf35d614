package martenlatch.fleet.gossip;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import martenlatch.fleet.link.LinkConditions;
import martenlatch.fleet.link.LinkModel;
import martenlatch.fleet.sim.VirtualTime;
import martenlatch.gossip.PeerState;

/**
 * Simulates a fleet of members and the links between them, with separate conditions for each direction. A paused
 * member buffers incoming datagrams up to a limit, as a socket does.
 */
final class PeerSim {

    /** One-way latency within a data centre. */
    private static final double BASE_LATENCY_MS = 0.3;
    /** How many small datagrams a socket buffers under Linux's default settings. */
    private static final int SOCKET_BUFFER_DATAGRAMS = 250;

    private static final double SECOND_MS = 1000;

    /** Grace period after a start or resume, in which a member declared faulty does not count as wrongly faulty. */
    private static final double GRACE_MS = 2000;

    /** A change of the state that one member holds for another. */
    record Change(double atMs, int observer, int peer, PeerState before, PeerState now) {}

    private final class Node {
        private final int number;
        private final Deque<Runnable> deferred = new ArrayDeque<>();
        private Membership member;
        private boolean paused;
        private boolean alive;
        private int startCount;
        private double runningSince;
        private double clockOffsetMs;
        private long bytes;
        private long[] messagesBySecond = new long[64];

        Node(int number) {
            this.number = number;
        }

        void runInProcess(int expectedStart, Runnable work) {
            if (!alive || expectedStart != startCount) {
                return;
            }
            if (!paused) {
                work.run();
            } else if (deferred.size() < SOCKET_BUFFER_DATAGRAMS) {
                deferred.add(work);
            }
        }

        void tickAt(double due, int expectedStart) {
            time.after(due - clock(), () -> tick(expectedStart));
        }

        private double clock() {
            return time.now() + clockOffsetMs;
        }

        private void tick(int expectedStart) {
            if (!alive || expectedStart != startCount) {
                return;
            }
            if (paused) {
                // A timer fires once, however long the process is paused.
                tickOverdue = true;
                return;
            }
            tickAt(member.tick(clock()), expectedStart);
        }

        private boolean tickOverdue;
    }

    private final VirtualTime time = new VirtualTime();
    private final Membership.Maker maker;
    private final int zones;
    private final LinkModel[] models;
    private final Node[] nodes;
    private final List<Change> changes = new ArrayList<>();
    private final SplittableRandom random;
    private int wronglyFaulty;
    private BiFunction<Integer, Integer, LinkConditions> links = (from, to) -> LinkConditions.CLEAR;

    PeerSim(int members, int zones, long seed, Membership.Maker maker) {
        this.maker = maker;
        this.zones = zones;
        random = new SplittableRandom(seed);
        models = new LinkModel[members];
        nodes = new Node[members];
        for (int i = 0; i < members; i++) {
            models[i] = new LinkModel(random.nextLong());
            nodes[i] = new Node(i);
        }
    }

    // ---- faults ----

    void start(int number) {
        Node node = nodes[number];
        node.alive = true;
        node.paused = false;
        node.startCount++;
        node.runningSince = time.elapsed();
        node.deferred.clear();
        int expectedStart = node.startCount;
        Membership.Wire wire = new Membership.Wire() {
            @Override
            public void send(int to, byte[] datagram) {
                if (expectedStart == node.startCount) {
                    PeerSim.this.send(number, to, datagram);
                }
            }

            @Override
            public void changed(int peer, PeerState before, PeerState now) {
                changes.add(new Change(time.elapsed(), number, peer, before, now));
                Node subject = nodes[peer];
                if (now == PeerState.FAULTY
                        && subject.alive
                        && !subject.paused
                        && time.elapsed() - subject.runningSince > GRACE_MS) {
                    wronglyFaulty++;
                }
            }
        };
        node.member = maker.make(number, nodes.length, number % zones, random.nextLong(), wire);
        node.tickAt(node.member.start(node.clock()), expectedStart);
    }

    /** Starts a member whose clock differs from the simulation's by {@code offMs} milliseconds. */
    void startWithClock(int number, double clockOffsetMs) {
        nodes[number].clockOffsetMs = clockOffsetMs;
        start(number);
    }

    void startAll(double withinMs) {
        for (int i = 0; i < nodes.length; i++) {
            int number = i;
            time.after(random.nextDouble() * withinMs, () -> start(number));
        }
    }

    void kill(int number) {
        nodes[number].alive = false;
        nodes[number].startCount++;
    }

    void leave(int number, double afterMs) {
        Node node = nodes[number];
        int expectedStart = node.startCount;
        node.runInProcess(expectedStart, () -> node.member.leave(node.clock()));
        time.after(afterMs, () -> {
            if (expectedStart == node.startCount) {
                kill(number);
            }
        });
    }

    void pause(int number) {
        nodes[number].paused = nodes[number].alive;
    }

    void resume(int number) {
        Node node = nodes[number];
        if (!node.alive || !node.paused) {
            return;
        }
        node.paused = false;
        node.runningSince = time.elapsed();
        // An event loop may run due timers before or after it reads pending datagrams.
        boolean timersFirst = random.nextBoolean();
        if (timersFirst) {
            runOverdueTick(node);
        }
        while (!node.deferred.isEmpty() && !node.paused) {
            node.deferred.poll().run();
        }
        runOverdueTick(node);
    }

    private static void runOverdueTick(Node node) {
        if (node.tickOverdue) {
            node.tickOverdue = false;
            node.tick(node.startCount);
        }
    }

    /** Sets the link conditions from now on, by sender and receiver. */
    void setLinks(BiFunction<Integer, Integer, LinkConditions> next) {
        links = next;
    }

    private void send(int from, int to, byte[] datagram) {
        Node sender = nodes[from];
        sender.bytes += datagram.length;
        int second = (int) (time.elapsed() / SECOND_MS);
        if (second >= sender.messagesBySecond.length) {
            sender.messagesBySecond = Arrays.copyOf(sender.messagesBySecond, 2 * second);
        }
        sender.messagesBySecond[second]++;
        LinkModel model = models[from];
        model.setConditions(links.apply(from, to));
        double now = time.elapsed();
        for (double at : model.datagramArrivalsMs(now, datagram.length)) {
            Node receiver = nodes[to];
            time.after(
                    at - now + BASE_LATENCY_MS,
                    () -> receiver.runInProcess(
                            receiver.startCount, () -> receiver.member.receive(receiver.clock(), from, datagram)));
        }
    }

    // ---- time and results ----

    void at(double ms, Runnable work) {
        time.after(ms - time.elapsed(), work);
    }

    void runUntil(double ms) {
        time.runUntil(ms);
    }

    double now() {
        return time.elapsed();
    }

    double clock() {
        return time.now();
    }

    int size() {
        return nodes.length;
    }

    boolean runs(int number) {
        return nodes[number].alive && !nodes[number].paused;
    }

    Membership member(int number) {
        return nodes[number].member;
    }

    PeerState state(int who, int of) {
        return nodes[who].member.state(of);
    }

    List<Change> changes() {
        return changes;
    }

    /** Returns how often a member was declared faulty although it had been running for longer than the grace period. */
    int wronglyFaulty() {
        return wronglyFaulty;
    }

    /** Returns the bytes that a member has sent since {@link #resetByteCounts}. */
    long bytes(int number) {
        return nodes[number].bytes;
    }

    /** Restarts the byte counts of all members at 0. */
    void resetByteCounts() {
        for (Node node : nodes) {
            node.bytes = 0;
        }
    }

    long maxMessagesPerSecond() {
        long worst = 0;
        for (Node node : nodes) {
            for (long count : node.messagesBySecond) {
                worst = Math.max(worst, count);
            }
        }
        return worst;
    }

    /** Returns whether all other running members hold this state for a member. */
    boolean allBelieve(int of, PeerState state) {
        for (Node node : nodes) {
            if (node.number != of && node.alive && !node.paused && node.member.state(of) != state) {
                return false;
            }
        }
        return true;
    }
}
