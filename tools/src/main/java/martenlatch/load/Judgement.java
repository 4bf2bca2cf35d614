package martenlatch.load;

import org.HdrHistogram.Histogram;

/**
 * The generator's judgement of itself, from how late it was. No I/O, no clock. Two things make a figure the
 * generator's and not the service's: a send that it took up late, and an answer that it looked at late as it
 * had been away from its loop. A second in which either happened to more than one in a hundred is void, and
 * so are all after it: what piled up is sent in a rush that nobody asked for.
 */
public final class Judgement {

    /** Answers of a fast service take about a millisecond: lateness of that size would double them. */
    public static final long LATE_NANOS = 1_000_000;
    /** The percentile that people look at is the 99th: up to there no figure may be ours. */
    static final double MOST_SHARE = 0.01;

    private static final long LONGEST_NANOS = 3_600_000_000_000L;

    private final Histogram lateness = new Histogram(LONGEST_NANOS, 3);
    private long lateSends;
    private long lateAnswers;
    private long answers;
    private long longestPause;
    private int voidFrom = -1;

    private int second = -1;
    private long secondSends;
    private long secondLateSends;
    private long secondAnswers;
    private long secondLateAnswers;

    /** A send was taken up so long after its intended time. */
    void sent(int inSecond, long lateNanos) {
        enter(inSecond);
        lateness.recordValue(Math.min(LONGEST_NANOS, Math.max(0, lateNanos)));
        secondSends++;
        if (lateNanos > LATE_NANOS) {
            lateSends++;
            secondLateSends++;
        }
    }

    /** An answer was looked at after the loop had not looked for so long. */
    void answered(int inSecond, long pauseNanos) {
        enter(inSecond);
        answers++;
        secondAnswers++;
        if (pauseNanos > LATE_NANOS) {
            lateAnswers++;
            secondLateAnswers++;
        }
    }

    /** The loop was away for so long. */
    void paused(long nanos) {
        longestPause = Math.max(longestPause, nanos);
    }

    private void enter(int inSecond) {
        if (inSecond > second) {
            judge();
            second = inSecond;
            secondSends = 0;
            secondLateSends = 0;
            secondAnswers = 0;
            secondLateAnswers = 0;
        }
    }

    private void judge() {
        if (voidFrom < 0
                && (secondLateSends > MOST_SHARE * secondSends || secondLateAnswers > MOST_SHARE * secondAnswers)) {
            voidFrom = second;
        }
    }

    /** Takes in another's observations, which were made over the same time. */
    void add(Judgement other) {
        judge();
        other.judge();
        lateness.add(other.lateness);
        lateSends += other.lateSends;
        lateAnswers += other.lateAnswers;
        answers += other.answers;
        longestPause = Math.max(longestPause, other.longestPause);
        if (other.voidFrom >= 0 && (voidFrom < 0 || other.voidFrom < voidFrom)) {
            voidFrom = other.voidFrom;
        }
    }

    /** The first second, counted from 0, whose figures are void; -1 if none is. */
    public int voidFrom() {
        judge();
        return voidFrom;
    }

    /** The share of sends that were late by more than a millisecond, 0 to 1. */
    public double lateShare() {
        return lateness.getTotalCount() == 0 ? 0 : lateSends / (double) lateness.getTotalCount();
    }

    /** The share of answers that were looked at late, 0 to 1. */
    public double lateAnswerShare() {
        return answers == 0 ? 0 : lateAnswers / (double) answers;
    }

    /** How late sends were, in nanoseconds. */
    public Histogram lateness() {
        return lateness;
    }

    /** The longest time for which the loop did nothing of its work, in nanoseconds. */
    public long longestPause() {
        return longestPause;
    }
}
