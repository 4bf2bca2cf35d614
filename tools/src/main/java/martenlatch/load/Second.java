package martenlatch.load;

import org.HdrHistogram.Histogram;

/** What happened in one second of a run, at one worker or at all. */
public final class Second {

    private static final long LONGEST_US = 3_600_000_000L;

    private final int number;
    private final long[] ends = new long[RequestOutcome.values().length];
    private final Histogram times = new Histogram(LONGEST_US, 2);
    private long wishes;
    private long lateSends;
    private int parts = 1;

    Second(int number) {
        this.number = number;
    }

    void wish(long lateNanos) {
        wishes++;
        lateSends += lateNanos > Judgement.LATE_NANOS ? 1 : 0;
    }

    void ended(RequestOutcome end, long nanos) {
        ends[end.ordinal()]++;
        times.recordValue(Math.min(LONGEST_US, Math.max(0, nanos / 1000)));
    }

    Second add(Second other) {
        for (int i = 0; i < ends.length; i++) {
            ends[i] += other.ends[i];
        }
        times.add(other.times);
        wishes += other.wishes;
        lateSends += other.lateSends;
        parts += other.parts;
        return this;
    }

    /** Of how many workers it has the counts. */
    int parts() {
        return parts;
    }

    /** From 0. */
    public int number() {
        return number;
    }

    public long wishes() {
        return wishes;
    }

    /** Sends that the generator took up more than a millisecond late. */
    public long lateSends() {
        return lateSends;
    }

    public long count(RequestOutcome end) {
        return ends[end.ordinal()];
    }

    /** A percentile, 0 to 100, of the times of all that ended in it, in milliseconds. */
    public double ms(double percentile) {
        return times.getValueAtPercentile(percentile) / 1000.0;
    }
}
