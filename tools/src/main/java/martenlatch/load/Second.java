package martenlatch.load;

import org.HdrHistogram.Histogram;

/** Statistics of one second of a run, of one worker or of all. */
public final class Second {

    private static final long MAX_LATENCY_US = 3_600_000_000L;

    private final int number;
    private final long[] outcomes = new long[RequestOutcome.values().length];
    private final Histogram times = new Histogram(MAX_LATENCY_US, 2);
    private long wishes;
    private long lateSends;
    private int parts = 1;

    Second(int number) {
        this.number = number;
    }

    void recordArrival(long lateNanos) {
        wishes++;
        lateSends += lateNanos > GeneratorLateness.LATE_NANOS ? 1 : 0;
    }

    void recordOutcome(RequestOutcome outcome, long latencyNanos) {
        outcomes[outcome.ordinal()]++;
        times.recordValue(Math.min(MAX_LATENCY_US, Math.max(0, latencyNanos / 1000)));
    }

    /** Adds the statistics of another worker for the same second, and returns this. */
    Second add(Second other) {
        for (int i = 0; i < outcomes.length; i++) {
            outcomes[i] += other.outcomes[i];
        }
        times.add(other.times);
        wishes += other.wishes;
        lateSends += other.lateSends;
        parts += other.parts;
        return this;
    }

    /** Returns the number of workers whose statistics are included. */
    int parts() {
        return parts;
    }

    /** Returns the number of the second, from 0. */
    public int number() {
        return number;
    }

    /** Returns the number of arrivals that were begun in this second. */
    public long wishes() {
        return wishes;
    }

    /** Returns the number of sends that the generator began more than 1 ms late. */
    public long lateSends() {
        return lateSends;
    }

    /** Returns the number of arrivals that ended in this second with this outcome. */
    public long count(RequestOutcome outcome) {
        return outcomes[outcome.ordinal()];
    }

    /** Returns a percentile, 0 to 100, of the latencies of all arrivals that ended in this second, in milliseconds. */
    public double ms(double percentile) {
        return times.getValueAtPercentile(percentile) / 1000.0;
    }
}
