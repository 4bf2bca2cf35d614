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
 * Baseline detector: SWIM with suspicion and round-robin probes (Das, Gupta, Motivala, DSN 2002, sections 3 and 4).
 * Each probe is one ping and, without an answer, three indirect pings; the suspicion timeout is fixed, and updates
 * are piggybacked on probe messages only.
 */
final class PlainSwim implements Membership {

    private static final double TICK_MS = 50;
    private static final double PERIOD_MS = 1000;
    private static final double PING_TIMEOUT_MS = 300;
    private static final int INDIRECT_PROBES = 3;
    private static final int RETRANSMIT_FACTOR = 4;
    private static final int MAX_UPDATES_PER_MESSAGE = 20;
    private static final int PING = 1;
    private static final int ACK = 2;
    private static final int PING_REQUEST = 3;

    private static final class Peer {
        private PeerState state = PeerState.ABSENT;
        private int incarnation;
        private double suspectUntilMs;
    }

    private record Update(int peer, int state, int incarnation) {}

    private final int self;
    private final Wire wire;
    private final Peer[] peers;
    private final Random random;
    private final Map<Integer, int[]> pendingUpdates = new LinkedHashMap<>();
    private final Map<Integer, int[]> relays = new HashMap<>();
    private final List<Integer> probeOrder = new ArrayList<>();
    private final double suspicionMs;
    private int incarnation;
    private int sequence;
    private int probedPeer = -1;
    private int probeSequence = -1;
    private boolean indirectProbesSent;
    private double probedAtMs;
    private double nextPeriodMs;

    PlainSwim(int self, int count, long seed, Wire wire) {
        this.self = self;
        this.wire = wire;
        random = new Random(seed);
        peers = new Peer[count];
        for (int i = 0; i < count; i++) {
            peers[i] = new Peer();
        }
        peers[self].state = PeerState.ALIVE;
        // As in the paper: a few protocol periods times the logarithm of the number of members.
        suspicionMs = 3 * Math.max(1, Math.log10(count)) * PERIOD_MS;
    }

    @Override
    public double start(double now) {
        incarnation = (int) (now / 1000);
        peers[self].incarnation = incarnation;
        nextPeriodMs = now + random.nextInt((int) PERIOD_MS);
        enqueueUpdate(self);
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
            if (peers[i].state == PeerState.SUSPECT && now >= peers[i].suspectUntilMs) {
                setState(now, i, PeerState.FAULTY);
                enqueueUpdate(i);
            }
        }
        if (probeSequence >= 0 && !indirectProbesSent && now >= probedAtMs + PING_TIMEOUT_MS) {
            indirectProbesSent = true;
            for (int i = 0; i < INDIRECT_PROBES; i++) {
                int to = random.nextInt(peers.length);
                if (to != self && to != probedPeer && isLive(to)) {
                    send(to, PING_REQUEST, probeSequence, probedPeer);
                }
            }
        }
        if (now >= nextPeriodMs) {
            nextPeriodMs = now + PERIOD_MS;
            if (probeSequence >= 0 && peers[probedPeer].state == PeerState.ALIVE) {
                setState(now, probedPeer, PeerState.SUSPECT);
                enqueueUpdate(probedPeer);
            }
            probeSequence = -1;
            startNextProbe(now);
        }
        return now + TICK_MS;
    }

    private void startNextProbe(double now) {
        for (int i = 0; i < peers.length; i++) {
            if (probeOrder.isEmpty()) {
                for (int j = 0; j < peers.length; j++) {
                    if (j != self) {
                        probeOrder.add(j);
                    }
                }
                Collections.shuffle(probeOrder, random);
            }
            if (probeOrder.isEmpty()) {
                return;
            }
            int to = probeOrder.remove(probeOrder.size() - 1);
            if (isLive(to) || peers[to].state == PeerState.ABSENT) {
                probedPeer = to;
                probeSequence = isLive(to) ? ++sequence : -1;
                probedAtMs = now;
                indirectProbesSent = false;
                send(to, PING, isLive(to) ? probeSequence : ++sequence, to);
                return;
            }
        }
    }

    private boolean isLive(int peer) {
        return peers[peer].state == PeerState.ALIVE || peers[peer].state == PeerState.SUSPECT;
    }

    private void setState(double now, int peer, PeerState next) {
        PeerState before = peers[peer].state;
        peers[peer].state = next;
        if (next == PeerState.SUSPECT) {
            peers[peer].suspectUntilMs = now + suspicionMs;
        }
        if (before != next) {
            wire.changed(peer, before, next);
        }
    }

    private void enqueueUpdate(int peer) {
        pendingUpdates.put(peer, new int[1]);
    }

    private void send(int to, int kind, int of, int target) {
        List<Update> updates = new ArrayList<>();
        List<Integer> finished = new ArrayList<>();
        int maxTransmissions = RETRANSMIT_FACTOR * (int) Math.ceil(Math.log10(peers.length + 1.0));
        pendingUpdates.entrySet().stream()
                .sorted((a, b) -> a.getValue()[0] - b.getValue()[0])
                .limit(MAX_UPDATES_PER_MESSAGE)
                .forEach(one -> {
                    int peer = one.getKey();
                    updates.add(new Update(peer, peers[peer].state.ordinal(), peers[peer].incarnation));
                    if (++one.getValue()[0] >= maxTransmissions) {
                        finished.add(peer);
                    }
                });
        finished.forEach(pendingUpdates::remove);
        ByteBuffer out = ByteBuffer.allocate(16 + updates.size() * 7)
                .put((byte) kind)
                .putInt(self)
                .putInt(incarnation)
                .putShort((short) of)
                .putShort((short) target)
                .put((byte) updates.size())
                .putShort((short) 0);
        updates.forEach(
                one -> out.putShort((short) one.peer()).put((byte) one.state()).putInt(one.incarnation()));
        wire.send(to, out.array());
    }

    @Override
    public void receive(double now, int from, byte[] datagram) {
        ByteBuffer in = ByteBuffer.wrap(datagram);
        int kind = in.get();
        in.getInt();
        applyUpdate(now, from, PeerState.ALIVE, in.getInt());
        int of = in.getShort() & 0xffff;
        int target = in.getShort() & 0xffff;
        int updateCount = in.get();
        in.getShort();
        for (int i = 0; i < updateCount; i++) {
            int peer = in.getShort() & 0xffff;
            int state = in.get();
            applyUpdate(now, peer, PeerState.values()[state], in.getInt());
        }
        if (kind == PING) {
            send(from, ACK, of, self);
        } else if (kind == PING_REQUEST) {
            relays.put(++sequence & 0xffff, new int[] {from, of, target});
            send(target, PING, sequence, target);
        } else {
            int[] relay = relays.remove(of);
            if (relay != null && relay[2] == from) {
                send(relay[0], ACK, relay[1], from);
            } else if (probeSequence >= 0 && of == (probeSequence & 0xffff) && target == probedPeer) {
                probeSequence = -1;
            }
        }
    }

    /** Applies an update if its incarnation is newer or, for the same incarnation, its state is worse. */
    private void applyUpdate(double now, int peer, PeerState state, int newIncarnation) {
        if (state == PeerState.ABSENT || peer >= peers.length) {
            return;
        }
        if (peer == self) {
            if (state != PeerState.ALIVE && newIncarnation >= incarnation || newIncarnation > incarnation) {
                incarnation = newIncarnation + 1;
                peers[self].incarnation = incarnation;
                enqueueUpdate(self);
            }
            return;
        }
        Peer one = peers[peer];
        if (newIncarnation > one.incarnation
                || newIncarnation == one.incarnation && state.ordinal() > one.state.ordinal()) {
            one.incarnation = newIncarnation;
            setState(now, peer, state);
            enqueueUpdate(peer);
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
