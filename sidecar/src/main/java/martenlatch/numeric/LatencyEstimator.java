package martenlatch.numeric;

/** Estimates the typical value, the tail and the base value (without load) of a latency, in milliseconds. */
public final class LatencyEstimator {

    private final double typicalGain;
    private final double tailShare;
    private final double tailGain;
    private final int baseSamples;
    private final double maxBaseRise;
    private double typicalMs;
    private double tailMs;
    /** The lowest of the recent means, allowed to rise slowly; 0 before the first mean. */
    private double lowestMeanMs;

    private double sumMs;
    private int samples;

    /**
     * Creates an estimator.
     *
     * @param typicalMs the typical value before the first sample
     * @param tailMs the tail before the first sample
     * @param typicalGain the weight of a new sample in the typical value, above 0 and at most 1
     * @param tailShare the share of samples that are to exceed the tail
     * @param tailGain the relative step of the tail at a sample beyond it
     * @param baseSamples the number of samples averaged for one estimate of the base value
     * @param maxBaseRise the largest factor by which the base value rises from one estimate to the next
     */
    public LatencyEstimator(
            double typicalMs,
            double tailMs,
            double typicalGain,
            double tailShare,
            double tailGain,
            int baseSamples,
            double maxBaseRise) {
        this.typicalMs = typicalMs;
        this.tailMs = tailMs;
        this.typicalGain = typicalGain;
        this.tailShare = tailShare;
        this.tailGain = tailGain;
        this.baseSamples = baseSamples;
        this.maxBaseRise = maxBaseRise;
    }

    /** Updates the tail with a sample, which may be a lower bound of a latency; limits the tail to {@code maxMs}. */
    public void recordTail(double sampleMs, double maxMs) {
        double step = sampleMs > tailMs ? tailGain * (1 - tailShare) : -tailGain * tailShare;
        tailMs = Math.min(maxMs, tailMs * Math.exp(step));
    }

    /** Updates the typical value and the base value with a sample. */
    public void recordSample(double sampleMs) {
        typicalMs += typicalGain * (sampleMs - typicalMs);
        sumMs += sampleMs;
        samples++;
        if (samples == baseSamples) {
            double meanMs = sumMs / samples;
            lowestMeanMs = lowestMeanMs == 0 ? meanMs : Math.min(meanMs, lowestMeanMs * maxBaseRise);
            samples = 0;
            sumMs = 0;
        }
    }

    /** Returns the typical value, in milliseconds. */
    public double typicalMs() {
        return typicalMs;
    }

    /** Returns the tail, which a small share of the samples exceeds, in milliseconds. */
    public double tailMs() {
        return tailMs;
    }

    /** Returns the base value, in milliseconds; before the first estimate, the typical value. */
    public double baseMs() {
        return lowestMeanMs > 0 ? lowestMeanMs : typicalMs;
    }
}
