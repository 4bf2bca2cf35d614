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
 * A fleet of members in simulated time, each on its own, with links between them that have a conduct for each
 * direction. What is paused keeps what comes to it, as a socket does, up to a bound.
 */
final class PeerSim {

    /** Within a data centre, one way. */
    private static final double BASE_MS = 0.3;
    /** What a socket holds of small datagrams by Linux' usual settings. */
    private static final int SOCKET = 250;

    private static final double SECOND_MS = 1000;

    /** Who was paused or down is owed this much time to show that it is back. */
    private static final double SETTLED_MS = 2000;

    /** What a member has come to believe of another. */
    record Change(double atMs, int who, int peer, PeerState before, PeerState now) {}

    private final class Node {
        private final int number;
        private final Deque<Runnable> waiting = new ArrayDeque<>();
        private Membership member;
        private boolean paused;
        private boolean alive;
        private int life;
        private double runningSince;
        private double offMs;
        private long bytes;
        private long[] messagesBySecond = new long[64];

        Node(int number) {
            this.number = number;
        }

        void enter(int of, Runnable work) {
            if (!alive || of != life) {
                return;
            }
            if (!paused) {
                work.run();
            } else if (waiting.size() < SOCKET) {
                waiting.add(work);
            }
        }

        void tickAt(double due, int of) {
            time.after(due - clock(), () -> tick(of));
        }

        private double clock() {
            return time.now() + offMs;
        }

        private void tick(int of) {
            if (!alive || of != life) {
                return;
            }
            if (paused) {
                // A timer is due once, however long the process stands.
                late = true;
                return;
            }
            tickAt(member.tick(clock()), of);
        }

        private boolean late;
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
        node.life++;
        node.runningSince = time.elapsed();
        node.waiting.clear();
        int of = node.life;
        Membership.Wire wire = new Membership.Wire() {
            @Override
            public void send(int to, byte[] datagram) {
                if (of == node.life) {
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
                        && time.elapsed() - subject.runningSince > SETTLED_MS) {
                    wronglyFaulty++;
                }
            }
        };
        node.member = maker.make(number, nodes.length, number % zones, random.nextLong(), wire);
        node.tickAt(node.member.start(node.clock()), of);
    }

    /** Starts it with a clock that is off by so many milliseconds. */
    void startWithClock(int number, double offMs) {
        nodes[number].offMs = offMs;
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
        nodes[number].life++;
    }

    void leave(int number, double afterMs) {
        Node node = nodes[number];
        int of = node.life;
        node.enter(of, () -> node.member.leave(node.clock()));
        time.after(afterMs, () -> {
            if (of == node.life) {
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
        // A loop runs what is due first, or reads first what has come: either may be.
        boolean timersFirst = random.nextBoolean();
        if (timersFirst) {
            overdue(node);
        }
        while (!node.waiting.isEmpty() && !node.paused) {
            node.waiting.poll().run();
        }
        overdue(node);
    }

    private static void overdue(Node node) {
        if (node.late) {
            node.late = false;
            node.tick(node.life);
        }
    }

    /** How links are from now on, by sender and receiver. */
    void links(BiFunction<Integer, Integer, LinkConditions> next) {
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
                    at - now + BASE_MS,
                    () -> receiver.enter(
                            receiver.life, () -> receiver.member.receive(receiver.clock(), from, datagram)));
        }
    }

    // ---- what came of it ----

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

    /** Times that a member was called faulty by another, though both ran, and had for a while. */
    int wronglyFaulty() {
        return wronglyFaulty;
    }

    /** Sent since {@link #countBytes}. */
    long bytes(int number) {
        return nodes[number].bytes;
    }

    /** From here on. */
    void countBytes() {
        for (Node node : nodes) {
            node.bytes = 0;
        }
    }

    long messagesOnWorstSecond() {
        long worst = 0;
        for (Node node : nodes) {
            for (long count : node.messagesBySecond) {
                worst = Math.max(worst, count);
            }
        }
        return worst;
    }

    /** Whether all who run believe this of a member. */
    boolean allBelieve(int of, PeerState state) {
        for (Node node : nodes) {
            if (node.number != of && node.alive && !node.paused && node.member.state(of) != state) {
                return false;
            }
        }
        return true;
    }
}
