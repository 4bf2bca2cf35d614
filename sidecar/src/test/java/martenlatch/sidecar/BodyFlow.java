package martenlatch.sidecar;

import java.util.concurrent.TimeUnit;

/**
 * How an endpoint writes the body of an answer that goes on for a while: in parts of one size at a fixed interval.
 *
 * @param bytesPerSecond the mean rate
 * @param pauseMs the time from one part to the next
 * @param untilAfterTimeMs when the last part is written, relative to the end of the request's time
 * @param ending what follows that part
 */
record BodyFlow(int bytesPerSecond, int pauseMs, int untilAfterTimeMs, Ending ending) {

    /** What follows the last part of a flow. */
    enum Ending {
        /** The end of the body. */
        WHOLE,
        /** Nothing, though the body isn't whole. */
        STOPS,
        /** A byte at a time. */
        TRICKLES
    }

    /** The time after which a body begins. */
    private static final int BEGIN_MS = 150;
    /** What is missing of a body that never becomes whole. */
    private static final int MISSING_BYTES = 60_000;

    private static final int MS_PER_SECOND = 1000;

    boolean isSound() {
        return ending == Ending.WHOLE;
    }

    /** Returns the number of bytes that are written in the flow. */
    private int flowBytes(int timeMs) {
        return parts(timeMs) * partBytes();
    }

    private int parts(int timeMs) {
        return 1 + Math.max(0, timeMs + untilAfterTimeMs - BEGIN_MS) / pauseMs;
    }

    private int partBytes() {
        return (int) ((long) bytesPerSecond * pauseMs / MS_PER_SECOND);
    }

    /** Returns the size of the body that the endpoint declares. */
    int bodyBytes(int timeMs) {
        return flowBytes(timeMs) + (isSound() ? 0 : MISSING_BYTES);
    }

    /** Returns when the last part is written, after the arrival of the request. */
    int lastPartMs(int timeMs) {
        return BEGIN_MS + (parts(timeMs) - 1) * pauseMs;
    }

    /** Writes the body of an answer whose head is written, to a request whose client waits for {@code timeMs}. */
    void write(AnswerWriter writer, int timeMs) throws Exception {
        long startedNanos = System.nanoTime();
        int parts = parts(timeMs);
        for (int i = 0; i < parts; i++) {
            long dueNanos = startedNanos + TimeUnit.MILLISECONDS.toNanos(BEGIN_MS + (long) i * pauseMs);
            TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
            writer.part(i * partBytes(), (i + 1) * partBytes());
        }
        switch (ending) {
            case WHOLE -> writer.end();
            case STOPS -> writer.awaitClose();
            case TRICKLES -> writer.trickle(flowBytes(timeMs));
            default -> throw new IllegalStateException(ending.name());
        }
    }
}
