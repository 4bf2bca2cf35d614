package martenlatch.gossip;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether so many peers are silent at once that it looks like a partition, and not like that many deaths. What members
 * tell of each other arrives late and little by little; how this member's own probes have ended lately is a sample of
 * the fleet.
 */
final class PartitionDetector {

    /** So many silent peers, and this share of all: a zone, or a half. */
    private static final int MIN_SILENT = 3;

    private static final double MIN_SILENT_SHARE = 0.25;
    /** Peers declared faulty within this time count too; a partition is believed for so long after its last sign. */
    private static final double WINDOW_MS = 10_000;
    /** How long an own probe counts. */
    private static final double SAMPLE_MS = 3000;

    private static final int MAX_SAMPLES = 64;

    /** How one of this member's probes ended. */
    private record Sample(double atMs, int subject, boolean answered) {}

    private final int memberCount;
    private final Deque<Double> declaredFaultyMs = new ArrayDeque<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private double partitionedUntilMs = Double.NEGATIVE_INFINITY;

    PartitionDetector(int memberCount) {
        this.memberCount = memberCount;
    }

    /** One of this member's probes has ended. */
    void onProbeEnded(double nowMs, int subject, boolean answered) {
        samples.addLast(new Sample(nowMs, subject, answered));
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** A peer was declared faulty, by any member. */
    void onDeclaredFaulty(double nowMs) {
        declaredFaultyMs.addLast(nowMs);
        if (declaredFaultyMs.size() > memberCount) {
            declaredFaultyMs.removeFirst();
        }
    }

    /** This member was paused: earlier samples tell nothing about now. */
    void clear() {
        samples.clear();
    }

    /** Whether it looks like a partition, with so many suspects, and so many alive with this member among them. */
    boolean isPartitioned(double nowMs, int suspects, int alive) {
        while (!declaredFaultyMs.isEmpty() && nowMs - declaredFaultyMs.peekFirst() > WINDOW_MS) {
            declaredFaultyMs.removeFirst();
        }
        while (!samples.isEmpty() && nowMs - samples.peekFirst().atMs() > SAMPLE_MS) {
            samples.removeFirst();
        }
        int silent = suspects + declaredFaultyMs.size();
        if (isMany(silent, silent + alive) || (samples.size() >= MIN_SILENT && sampleIsMany())) {
            partitionedUntilMs = nowMs + WINDOW_MS;
        }
        return nowMs < partitionedUntilMs;
    }

    private boolean sampleIsMany() {
        Set<Integer> silent = new HashSet<>();
        Set<Integer> all = new HashSet<>();
        for (Sample sample : samples) {
            all.add(sample.subject());
            if (!sample.answered()) {
                silent.add(sample.subject());
            }
        }
        return isMany(silent.size(), all.size());
    }

    private static boolean isMany(int silent, int of) {
        return silent >= MIN_SILENT && silent >= MIN_SILENT_SHARE * of;
    }
}
