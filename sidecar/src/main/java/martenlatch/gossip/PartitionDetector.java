package martenlatch.gossip;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Detects partitions: decides whether so many peers are silent at once that a partition is likelier than that many
 * deaths. Reports by other members arrive late and gradually, so the recent results of this member's own probes are
 * used as a sample of the fleet.
 */
final class PartitionDetector {

    /**
     * A partition needs at least this many silent peers, and at least {@link #MIN_SILENT_SHARE} of all: a zone or half
     * of the fleet.
     */
    private static final int MIN_SILENT = 3;

    private static final double MIN_SILENT_SHARE = 0.25;
    /**
     * Peers declared faulty within this time count as silent. A partition is assumed for this time after its last sign.
     */
    private static final double WINDOW_MS = 10_000;
    /** How long the result of an own probe counts. */
    private static final double SAMPLE_LIFETIME_MS = 3000;

    private static final int MAX_SAMPLES = 64;

    /** The result of one of this member's probes. */
    private record Sample(double atMs, int subject, boolean answered) {}

    private final int memberCount;
    private final Deque<Double> declaredFaultyMs = new ArrayDeque<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private double partitionedUntilMs = Double.NEGATIVE_INFINITY;

    PartitionDetector(int memberCount) {
        this.memberCount = memberCount;
    }

    /** Called when one of this member's probes was answered or has failed. */
    void onProbeEnded(double nowMs, int subject, boolean answered) {
        samples.addLast(new Sample(nowMs, subject, answered));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** Called when a peer was declared faulty by any member. */
    void onDeclaredFaulty(double nowMs) {
        declaredFaultyMs.addLast(nowMs);
        if (declaredFaultyMs.size() > memberCount) {
            declaredFaultyMs.removeFirst();
        }
    }

    /** Called when this member was paused: earlier samples are no evidence about the present. */
    void clear() {
        samples.clear();
    }

    /**
     * Returns whether a partition is likely, given the number of suspects and the number of members alive including
     * this one.
     */
    boolean isPartitioned(double nowMs, int suspects, int alive) {
        while (!declaredFaultyMs.isEmpty() && nowMs - declaredFaultyMs.peekFirst() > WINDOW_MS) {
            declaredFaultyMs.removeFirst();
        }
        while (!samples.isEmpty() && nowMs - samples.peekFirst().atMs() > SAMPLE_LIFETIME_MS) {
            samples.removeFirst();
        }
        int silent = suspects + declaredFaultyMs.size();
        if (exceedsThreshold(silent, silent + alive) || (samples.size() >= MIN_SILENT && sampleExceedsThreshold())) {
            partitionedUntilMs = nowMs + WINDOW_MS;
        }
        return nowMs < partitionedUntilMs;
    }

    private boolean sampleExceedsThreshold() {
        Set<Integer> silent = new HashSet<>();
        Set<Integer> all = new HashSet<>();
        for (Sample sample : samples) {
            all.add(sample.subject());
            if (!sample.answered()) {
                silent.add(sample.subject());
            }
        }
        return exceedsThreshold(silent.size(), all.size());
    }

    private static boolean exceedsThreshold(int silent, int total) {
        return silent >= MIN_SILENT && silent >= MIN_SILENT_SHARE * total;
    }
}
