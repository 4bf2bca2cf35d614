package martenlatch.fleet.gossip;

import java.nio.ByteBuffer;
import martenlatch.gossip.PeerState;

/**
 * Baseline detectors in which each member sends a heartbeat to all others once a second. A peer is faulty after a
 * fixed time without a heartbeat or, with phi accrual (Hayashibara et al., SRDS 2004), when the silence is too
 * unlikely given the previous gaps between its heartbeats.
 */
final class Heartbeats implements Membership {

    private static final double TICK_MS = 100;
    private static final double HEARTBEAT_INTERVAL_MS = 1000;
    private static final double TIMEOUT_MS = 3000;
    /** Akka's default threshold. */
    private static final double PHI_THRESHOLD = 8;

    private static final double MIN_DEVIATION_MS = 100;
    private static final double SMOOTHING_FACTOR = 0.05;

    private final int self;
    private final boolean usePhiAccrual;
    private final Wire wire;
    private final PeerState[] states;
    private final double[] lastHeartbeatMs;
    private final double[] meanGapMs;
    private final double[] variance;
    private final double firstHeartbeatDelayMs;
    private double nextHeartbeatMs;

    Heartbeats(boolean usePhiAccrual, int self, int memberCount, long seed, Wire wire) {
        this.usePhiAccrual = usePhiAccrual;
        this.self = self;
        this.wire = wire;
        states = new PeerState[memberCount];
        lastHeartbeatMs = new double[memberCount];
        meanGapMs = new double[memberCount];
        variance = new double[memberCount];
        for (int i = 0; i < memberCount; i++) {
            states[i] = i == self ? PeerState.ALIVE : PeerState.ABSENT;
            meanGapMs[i] = HEARTBEAT_INTERVAL_MS;
        }
        firstHeartbeatDelayMs = Math.floorMod(seed, (long) HEARTBEAT_INTERVAL_MS);
    }

    @Override
    public double start(double now) {
        nextHeartbeatMs = now + firstHeartbeatDelayMs;
        return now + TICK_MS;
    }

    @Override
    public double tick(double now) {
        if (now >= nextHeartbeatMs) {
            nextHeartbeatMs = now + HEARTBEAT_INTERVAL_MS;
            for (int to = 0; to < states.length; to++) {
                if (to != self) {
                    // The same size as the header of the sidecars' gossip messages, without updates.
                    wire.send(to, ByteBuffer.allocate(8).putInt(self).array());
                }
            }
        }
        for (int peer = 0; peer < states.length; peer++) {
            if (states[peer] == PeerState.ALIVE && peer != self && isSilentTooLong(peer, now - lastHeartbeatMs[peer])) {
                setState(peer, PeerState.FAULTY);
            }
        }
        return now + TICK_MS;
    }

    private boolean isSilentTooLong(int peer, double gap) {
        if (!usePhiAccrual) {
            return gap > TIMEOUT_MS;
        }
        double deviation = Math.max(MIN_DEVIATION_MS, Math.sqrt(variance[peer]));
        double y = (gap - meanGapMs[peer]) / deviation;
        // The logistic approximation of the normal distribution's tail, as published with the detector.
        double e = Math.exp(-y * (1.5976 + 0.070566 * y * y));
        double tailProbability = gap > meanGapMs[peer] ? e / (1 + e) : 1 - 1 / (1 + e);
        return -Math.log10(Math.max(tailProbability, Double.MIN_NORMAL)) > PHI_THRESHOLD;
    }

    private void setState(int peer, PeerState next) {
        PeerState before = states[peer];
        if (before != next) {
            states[peer] = next;
            wire.changed(peer, before, next);
        }
    }

    @Override
    public void receive(double now, int from, byte[] datagram) {
        if (states[from] == PeerState.ALIVE) {
            double gap = now - lastHeartbeatMs[from];
            double error = gap - meanGapMs[from];
            meanGapMs[from] += SMOOTHING_FACTOR * error;
            variance[from] += SMOOTHING_FACTOR * (error * error - variance[from]);
        }
        lastHeartbeatMs[from] = now;
        setState(from, PeerState.ALIVE);
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
