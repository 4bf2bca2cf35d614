package martenlatch.fleet.gossip;

import java.nio.ByteBuffer;
import martenlatch.gossip.PeerState;

/**
 * Baselines: everybody tells everybody once a second that it lives. Plain, a peer is faulty when it was not
 * heard for a fixed time; or by phi accrual (Hayashibara et al., SRDS 2004), when its silence is too unlikely
 * after the gaps that it had before.
 */
final class Heartbeats implements Membership {

    private static final double TICK_MS = 100;
    private static final double EVERY_MS = 1000;
    private static final double TIMEOUT_MS = 3000;
    /** As Akka has it by default. */
    private static final double PHI = 8;

    private static final double LEAST_DEVIATION_MS = 100;
    private static final double GAIN = 0.05;

    private final int self;
    private final boolean phi;
    private final Wire wire;
    private final PeerState[] states;
    private final double[] heardAt;
    private final double[] mean;
    private final double[] variance;
    private final double offset;
    private double nextBeat;

    Heartbeats(boolean phi, int self, int told, long seed, Wire wire) {
        this.phi = phi;
        this.self = self;
        this.wire = wire;
        states = new PeerState[told];
        heardAt = new double[told];
        mean = new double[told];
        variance = new double[told];
        for (int i = 0; i < told; i++) {
            states[i] = i == self ? PeerState.ALIVE : PeerState.ABSENT;
            mean[i] = EVERY_MS;
        }
        offset = Math.floorMod(seed, (long) EVERY_MS);
    }

    @Override
    public double start(double now) {
        nextBeat = now + offset;
        return now + TICK_MS;
    }

    @Override
    public double tick(double now) {
        if (now >= nextBeat) {
            nextBeat = now + EVERY_MS;
            for (int to = 0; to < states.length; to++) {
                if (to != self) {
                    // What our own have as a header, without news.
                    wire.send(to, ByteBuffer.allocate(8).putInt(self).array());
                }
            }
        }
        for (int peer = 0; peer < states.length; peer++) {
            if (states[peer] == PeerState.ALIVE && peer != self && silent(peer, now - heardAt[peer])) {
                move(peer, PeerState.FAULTY);
            }
        }
        return now + TICK_MS;
    }

    private boolean silent(int peer, double gap) {
        if (!phi) {
            return gap > TIMEOUT_MS;
        }
        double deviation = Math.max(LEAST_DEVIATION_MS, Math.sqrt(variance[peer]));
        double y = (gap - mean[peer]) / deviation;
        // The logistic approximation of the normal distribution's tail, as published with the detector.
        double e = Math.exp(-y * (1.5976 + 0.070566 * y * y));
        double later = gap > mean[peer] ? e / (1 + e) : 1 - 1 / (1 + e);
        return -Math.log10(Math.max(later, Double.MIN_NORMAL)) > PHI;
    }

    private void move(int peer, PeerState next) {
        PeerState before = states[peer];
        if (before != next) {
            states[peer] = next;
            wire.changed(peer, before, next);
        }
    }

    @Override
    public void receive(double now, int from, byte[] datagram) {
        if (states[from] == PeerState.ALIVE) {
            double gap = now - heardAt[from];
            double off = gap - mean[from];
            mean[from] += GAIN * off;
            variance[from] += GAIN * (off * off - variance[from]);
        }
        heardAt[from] = now;
        move(from, PeerState.ALIVE);
    }

    @Override
    public void leave(double now) {
        return;
    }

    @Override
    public PeerState state(int peer) {
        return states[peer];
    }
}
