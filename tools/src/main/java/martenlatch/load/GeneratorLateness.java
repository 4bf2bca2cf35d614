package martenlatch.load;

import org.HdrHistogram.Histogram;

/**
 * Measures how late the load generator itself was, and decides which results are void because of it. Performs no I/O
 * and reads no clock. A latency is partly the generator's own if a send was begun late, or if an answer was read late
 * because the event loop did not run. A second in which either happened to more than 1 % is void, and so are all later
 * seconds, because the backlog is sent in a burst that the schedule does not contain.
 */
public final class GeneratorLateness {

    /** A fast service answers in about 1 ms; lateness of that size would double the latency. */
    public static final long LATE_NANOS = 1_000_000;
    /** Keeps latencies up to the commonly read 99th percentile free of the generator's own lateness. */
    static final double MAX_LATE_SHARE = 0.01;

    private static final long MAX_LATENESS_NANOS = 3_600_000_000_000L;

    private final Histogram sendLateness = new Histogram(MAX_LATENESS_NANOS, 3);
    private long lateSends;
    private long lateAnswers;
    private long answers;
    private long longestPauseNanos;
    private int voidFrom = -1;

    private int currentSecond = -1;
    private long secondSends;
    private long secondLateSends;
    private long secondAnswers;
    private long secondLateAnswers;

    /** Records how long after its intended time a send was begun. */
    void recordSend(int inSecond, long lateNanos) {
        enter(inSecond);
        sendLateness.recordValue(Math.min(MAX_LATENESS_NANOS, Math.max(0, lateNanos)));
        secondSends++;
        if (lateNanos > LATE_NANOS) {
            lateSends++;
            secondLateSends++;
        }
    }

    /** Records that an answer was read after the event loop had not read its sockets for {@code pauseNanos}. */
    void recordAnswer(int inSecond, long pauseNanos) {
        enter(inSecond);
        answers++;
        secondAnswers++;
        if (pauseNanos > LATE_NANOS) {
            lateAnswers++;
            secondLateAnswers++;
        }
    }

    /** Records how long the event loop did not run. */
    void recordPause(long nanos) {
        longestPauseNanos = Math.max(longestPauseNanos, nanos);
    }

    /** Evaluates the current second if {@code inSecond} is a later one. */
    private void enter(int inSecond) {
        if (inSecond > currentSecond) {
            evaluateSecond();
            currentSecond = inSecond;
            secondSends = 0;
            secondLateSends = 0;
            secondAnswers = 0;
            secondLateAnswers = 0;
        }
    }

    /** Marks the current second as void if it is the first with too large a share of late sends or answers. */
    private void evaluateSecond() {
        if (voidFrom < 0
                && (secondLateSends > MAX_LATE_SHARE * secondSends
                        || secondLateAnswers > MAX_LATE_SHARE * secondAnswers)) {
            voidFrom = currentSecond;
        }
    }

    /** Adds the records of another worker for the same period. */
    void add(GeneratorLateness other) {
        evaluateSecond();
        other.evaluateSecond();
        sendLateness.add(other.sendLateness);
        lateSends += other.lateSends;
        lateAnswers += other.lateAnswers;
        answers += other.answers;
        longestPauseNanos = Math.max(longestPauseNanos, other.longestPauseNanos);
        if (other.voidFrom >= 0 && (voidFrom < 0 || other.voidFrom < voidFrom)) {
            voidFrom = other.voidFrom;
        }
    }

    /** Returns the first second, counted from 0, whose results are void; -1 if there is none. */
    public int voidFrom() {
        evaluateSecond();
        return voidFrom;
    }

    /** Returns the share of sends that were late by more than 1 ms, 0 to 1. */
    public double lateShare() {
        return sendLateness.getTotalCount() == 0 ? 0 : lateSends / (double) sendLateness.getTotalCount();
    }

    /** Returns the share of answers that were read late by more than 1 ms, 0 to 1. */
    public double lateAnswerShare() {
        return answers == 0 ? 0 : lateAnswers / (double) answers;
    }

    /** Returns the lateness of sends, in nanoseconds. */
    public Histogram sendLateness() {
        return sendLateness;
    }

    /** Returns the longest time for which the event loop did not run, in nanoseconds. */
    public long longestPauseNanos() {
        return longestPauseNanos;
    }
}
