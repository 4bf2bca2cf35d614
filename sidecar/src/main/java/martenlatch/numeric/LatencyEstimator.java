package martenlatch.numeric;

/** Running estimates of a latency in milliseconds: its typical value, its tail, and its value without load. */
public final class LatencyEstimator {

    private final double typicalGain;
    private final double tailShare;
    private final double tailGain;
    private final int baseSamples;
    private final double baseRise;
    private double typicalMs;
    private double tailMs;
    /** The lowest of recent averages; 0 before the first. */
    private double lowestMeanMs;

    private double sumMs;
    private int samples;

    /**
     * Creates an estimator.
     *
     * @param typicalMs the typical value assumed before the first sample
     * @param tailMs the tail assumed before the first sample
     * @param typicalGain weight of a new sample in the typical value, above 0 and at most 1
     * @param tailShare the share of samples that are to exceed the tail
     * @param tailGain how fast the tail is learned: the relative step at a sample beyond it
     * @param baseSamples samples averaged for one estimate of the value without load
     * @param baseRise the largest factor by which that value rises from one estimate to the next
     */
    public LatencyEstimator(
            double typicalMs,
            double tailMs,
            double typicalGain,
            double tailShare,
            double tailGain,
            int baseSamples,
            double baseRise) {
        this.typicalMs = typicalMs;
        this.tailMs = tailMs;
        this.typicalGain = typicalGain;
        this.tailShare = tailShare;
        this.tailGain = tailGain;
        this.baseSamples = baseSamples;
        this.baseRise = baseRise;
    }

    /** Moves the tail by a sample, which may be a lower bound; the tail never exceeds {@code maxMs}. */
    public void recordTail(double sampleMs, double maxMs) {
        double step = sampleMs > tailMs ? tailGain * (1 - tailShare) : -tailGain * tailShare;
        tailMs = Math.min(maxMs, tailMs * Math.exp(step));
    }

    /** Moves the typical value and the value without load by a sample. */
    public void recordSample(double sampleMs) {
        typicalMs += typicalGain * (sampleMs - typicalMs);
        sumMs += sampleMs;
        samples++;
        if (samples == baseSamples) {
            double mean = sumMs / samples;
            lowestMeanMs = lowestMeanMs == 0 ? mean : Math.min(mean, lowestMeanMs * baseRise);
            samples = 0;
            sumMs = 0;
        }
    }

    /** The typical value, in milliseconds. */
    public double typicalMs() {
        return typicalMs;
    }

    /** The value that few samples exceed, in milliseconds. */
    public double tailMs() {
        return tailMs;
    }

    /** The value without load, in milliseconds; the typical one until there are enough samples. */
    public double baseMs() {
        return lowestMeanMs > 0 ? lowestMeanMs : typicalMs;
    }
}
