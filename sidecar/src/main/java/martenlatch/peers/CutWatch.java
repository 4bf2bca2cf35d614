package martenlatch.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether so many are silent at once that it looks like a cut, and not like that many deaths. What all say of
 * each other comes late and by and by; how one's own probes have ended of late is a sample of the fleet.
 */
final class CutWatch {

    /** So many silent at once, and this part of all of them: a zone, or a half. */
    private static final int LEAST = 3;

    private static final double PART = 0.25;
    /** Those called faulty within this time count too; and so long a cut is believed after its last sign. */
    private static final double WINDOW_MS = 10_000;
    /** How long an own probe tells how things are, and how many are kept. */
    private static final double SAMPLE_MS = 3000;

    private static final int MOST_SAMPLES = 64;

    /** How one of our own probes ended. */
    private record Sample(double atMs, int subject, boolean answered) {}

    private final int told;
    private final Deque<Double> faultyAt = new ArrayDeque<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private double until = Double.NEGATIVE_INFINITY;

    /** Of a fleet of so many. */
    CutWatch(int told) {
        this.told = told;
    }

    /** An own probe has ended. */
    void probed(double now, int subject, boolean answered) {
        samples.addLast(new Sample(now, subject, answered));
        if (samples.size() > MOST_SAMPLES) {
            samples.removeFirst();
        }
    }

    /** A member is called faulty, by whomever. */
    void calledFaulty(double now) {
        faultyAt.addLast(now);
        if (faultyAt.size() > told) {
            faultyAt.removeFirst();
        }
    }

    /** We stood still: what was sampled before says nothing of now. */
    void forget() {
        samples.clear();
    }

    /** Whether it looks like a cut, with so many suspects and so many alive, ourselves among them. */
    boolean isCut(double now, int suspects, int alive) {
        while (!faultyAt.isEmpty() && now - faultyAt.peekFirst() > WINDOW_MS) {
            faultyAt.removeFirst();
        }
        while (!samples.isEmpty() && now - samples.peekFirst().atMs() > SAMPLE_MS) {
            samples.removeFirst();
        }
        int silent = suspects + faultyAt.size();
        if (isMany(silent, silent + alive) || samples.size() >= LEAST && sampleIsCut()) {
            until = now + WINDOW_MS;
        }
        return now < until;
    }

    private boolean sampleIsCut() {
        Set<Integer> silent = new HashSet<>();
        Set<Integer> all = new HashSet<>();
        for (Sample one : samples) {
            all.add(one.subject());
            if (!one.answered()) {
                silent.add(one.subject());
            }
        }
        return isMany(silent.size(), all.size());
    }

    private static boolean isMany(int silent, int of) {
        return silent >= LEAST && silent >= PART * of;
    }
}
