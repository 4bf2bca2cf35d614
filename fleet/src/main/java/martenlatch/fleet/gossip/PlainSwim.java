package martenlatch.fleet.gossip;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import martenlatch.gossip.PeerState;

/**
 * A baseline: SWIM with suspicion and round-robin probes (Das, Gupta, Motivala, DSN 2002, sections 3 and 4),
 * news on its probes alone. One ping, three that help, a fixed time of suspicion.
 */
final class PlainSwim implements Membership {

    private static final double TICK_MS = 50;
    private static final double PERIOD_MS = 1000;
    private static final double PING_MS = 300;
    private static final int HELPERS = 3;
    private static final int SPREAD = 4;
    private static final int MOST_NEWS = 20;
    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int TRY = 3;

    private static final class Peer {
        private PeerState state = PeerState.ABSENT;
        private int incarnation;
        private double suspectUntil;
    }

    private record News(int peer, int state, int incarnation) {}

    private final int self;
    private final Wire wire;
    private final Peer[] peers;
    private final Random random;
    private final Map<Integer, int[]> told = new LinkedHashMap<>();
    private final Map<Integer, int[]> relays = new HashMap<>();
    private final List<Integer> round = new ArrayList<>();
    private final double suspicionMs;
    private int incarnation;
    private int sequence;
    private int probed = -1;
    private int probe = -1;
    private boolean helped;
    private double probedAt;
    private double nextPeriod;

    PlainSwim(int self, int count, long seed, Wire wire) {
        this.self = self;
        this.wire = wire;
        random = new Random(seed);
        peers = new Peer[count];
        for (int i = 0; i < count; i++) {
            peers[i] = new Peer();
        }
        peers[self].state = PeerState.ALIVE;
        // The paper: some periods times the logarithm of the fleet's size.
        suspicionMs = 3 * Math.max(1, Math.log10(count)) * PERIOD_MS;
    }

    @Override
    public double start(double now) {
        incarnation = (int) (now / 1000);
        peers[self].incarnation = incarnation;
        nextPeriod = now + random.nextInt((int) PERIOD_MS);
        news(self);
        for (int i = 0; i < 5 && peers.length > 1; i++) {
            int to = random.nextInt(peers.length);
            if (to != self) {
                send(to, PING, ++sequence, to);
            }
        }
        return now + TICK_MS;
    }

    @Override
    public double tick(double now) {
        for (int i = 0; i < peers.length; i++) {
            if (peers[i].state == PeerState.SUSPECT && now >= peers[i].suspectUntil) {
                move(now, i, PeerState.FAULTY);
                news(i);
            }
        }
        if (probe >= 0 && !helped && now >= probedAt + PING_MS) {
            helped = true;
            for (int i = 0; i < HELPERS; i++) {
                int to = random.nextInt(peers.length);
                if (to != self && to != probed && live(to)) {
                    send(to, TRY, probe, probed);
                }
            }
        }
        if (now >= nextPeriod) {
            nextPeriod = now + PERIOD_MS;
            if (probe >= 0 && peers[probed].state == PeerState.ALIVE) {
                move(now, probed, PeerState.SUSPECT);
                news(probed);
            }
            probe = -1;
            next(now);
        }
        return now + TICK_MS;
    }

    private void next(double now) {
        for (int i = 0; i < peers.length; i++) {
            if (round.isEmpty()) {
                for (int j = 0; j < peers.length; j++) {
                    if (j != self) {
                        round.add(j);
                    }
                }
                Collections.shuffle(round, random);
            }
            if (round.isEmpty()) {
                return;
            }
            int to = round.remove(round.size() - 1);
            if (live(to) || peers[to].state == PeerState.ABSENT) {
                probed = to;
                probe = live(to) ? ++sequence : -1;
                probedAt = now;
                helped = false;
                send(to, PING, live(to) ? probe : ++sequence, to);
                return;
            }
        }
    }

    private boolean live(int peer) {
        return peers[peer].state == PeerState.ALIVE || peers[peer].state == PeerState.SUSPECT;
    }

    private void move(double now, int peer, PeerState next) {
        PeerState before = peers[peer].state;
        peers[peer].state = next;
        if (next == PeerState.SUSPECT) {
            peers[peer].suspectUntil = now + suspicionMs;
        }
        if (before != next) {
            wire.changed(peer, before, next);
        }
    }

    private void news(int peer) {
        told.put(peer, new int[1]);
    }

    private void send(int to, int kind, int of, int target) {
        List<News> said = new ArrayList<>();
        List<Integer> over = new ArrayList<>();
        int most = SPREAD * (int) Math.ceil(Math.log10(peers.length + 1.0));
        told.entrySet().stream()
                .sorted((a, b) -> a.getValue()[0] - b.getValue()[0])
                .limit(MOST_NEWS)
                .forEach(one -> {
                    int peer = one.getKey();
                    said.add(new News(peer, peers[peer].state.ordinal(), peers[peer].incarnation));
                    if (++one.getValue()[0] >= most) {
                        over.add(peer);
                    }
                });
        over.forEach(told::remove);
        ByteBuffer out = ByteBuffer.allocate(16 + said.size() * 7)
                .put((byte) kind)
                .putInt(self)
                .putInt(incarnation)
                .putShort((short) of)
                .putShort((short) target)
                .put((byte) said.size())
                .putShort((short) 0);
        said.forEach(
                one -> out.putShort((short) one.peer()).put((byte) one.state()).putInt(one.incarnation()));
        wire.send(to, out.array());
    }

    @Override
    public void receive(double now, int from, byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        int kind = in.get();
        in.getInt();
        learn(now, from, PeerState.ALIVE, in.getInt());
        int of = in.getShort() & 0xffff;
        int target = in.getShort() & 0xffff;
        int said = in.get();
        in.getShort();
        for (int i = 0; i < said; i++) {
            int peer = in.getShort() & 0xffff;
            int state = in.get();
            learn(now, peer, PeerState.values()[state], in.getInt());
        }
        if (kind == PING) {
            send(from, ACK, of, self);
        } else if (kind == TRY) {
            relays.put(++sequence & 0xffff, new int[] {from, of, target});
            send(target, PING, sequence, target);
        } else {
            int[] relay = relays.remove(of);
            if (relay != null && relay[2] == from) {
                send(relay[0], ACK, relay[1], from);
            } else if (probe >= 0 && of == (probe & 0xffff) && target == probed) {
                probe = -1;
            }
        }
    }

    /** An update overrides by its incarnation, and of one life the worse one does. */
    private void learn(double now, int peer, PeerState state, int said) {
        if (state == PeerState.ABSENT || peer >= peers.length) {
            return;
        }
        if (peer == self) {
            if (state != PeerState.ALIVE && said >= incarnation || said > incarnation) {
                incarnation = said + 1;
                peers[self].incarnation = incarnation;
                news(self);
            }
            return;
        }
        Peer one = peers[peer];
        if (said > one.incarnation || said == one.incarnation && state.ordinal() > one.state.ordinal()) {
            one.incarnation = said;
            move(now, peer, state);
            news(peer);
        }
    }

    @Override
    public void leave(double now) {
        return;
    }

    @Override
    public PeerState state(int peer) {
        return peers[peer].state;
    }
}
