package martenlatch.sidecar;

import java.util.concurrent.TimeUnit;
import martenlatch.sidecar.BodyFlow.Ending;

/** How an endpoint answers a request: how much of the answer it writes, and when the answer is whole. */
enum EndpointAnswer {
    NOTHING(Extent.NONE, 1000),
    HEAD(Extent.HEAD, 1000),
    TRICKLE(Extent.TRICKLE, 60_000),
    HALF(Extent.HALF, 1000),
    ALL_BUT_END(Extent.ALL_BUT_END, 1000),
    LONG_TRICKLE(Extent.PART_AND_TRICKLE, 200_000),
    LONG_STOP(Extent.PART, 200_000),
    AT_ONCE(Extent.AT_ONCE, 1000),
    WHOLE_200_MS_BEFORE(-200, 1000),
    LONG_WHOLE_200_MS_BEFORE(-200, 200_000),
    WHOLE_30_MS_BEFORE(-30, 1000),
    WHOLE_AT_TIME(0, 1000),
    WHOLE_30_MS_AFTER(30, 1000),
    WHOLE_200_MS_AFTER(200, 1000),
    WHOLE_600_MS_AFTER(600, 1000),
    FLOWS_70_KBPS_200_MS_AFTER(new BodyFlow(70_000, 50, 200, Ending.WHOLE)),
    FLOWS_70_KBPS_1_S_AFTER(new BodyFlow(70_000, 50, 1000, Ending.WHOLE)),
    FLOWS_20_KBPS_3_S_AFTER(new BodyFlow(20_000, 50, 3000, Ending.WHOLE)),
    FLOWS_45_KBPS_8_S_AFTER(new BodyFlow(45_000, 50, 8000, Ending.WHOLE)),
    FLOWS_1_MBPS_1_S_AFTER(new BodyFlow(1_000_000, 50, 1000, Ending.WHOLE)),
    LUMPS_200_MS_1_S_AFTER(new BodyFlow(60_000, 200, 1000, Ending.WHOLE)),
    LUMPS_800_MS_3_S_AFTER(new BodyFlow(60_000, 800, 3000, Ending.WHOLE)),
    LUMPS_800_MS_1_S_AFTER(new BodyFlow(100_000, 800, 1000, Ending.WHOLE)),
    FLOWS_THEN_STOPS_BEFORE(new BodyFlow(200_000, 50, -200, Ending.STOPS)),
    FLOWS_THEN_STOPS_AFTER(new BodyFlow(100_000, 50, 1000, Ending.STOPS)),
    FLOWS_THEN_TRICKLES_BEFORE(new BodyFlow(200_000, 50, -200, Ending.TRICKLES)),
    FLOWS_THEN_TRICKLES_AFTER(new BodyFlow(100_000, 50, 1000, Ending.TRICKLES));

    /** How the end of a body is marked. */
    enum Framing {
        LENGTH,
        CHUNKED,
        CLOSE
    }

    private enum Extent {
        NONE,
        HEAD,
        TRICKLE,
        HALF,
        ALL_BUT_END,
        PART,
        PART_AND_TRICKLE,
        AT_ONCE,
        WHOLE,
        FLOW
    }

    /** The beginning of a long answer; more than the sidecar collects. */
    private static final int PART_BYTES = 70_000;

    /** How long before the end of its request's time an answer begins of which only the end is missing, or all. */
    private static final int LATE_BEGINNING_BEFORE_TIME_MS = 300;
    /** The time after which an answer that becomes whole has begun. */
    private static final int HALF_AFTER_MS = 100;

    private final Extent extent;
    /** The time at which the answer is whole, relative to the end of its request's time. */
    private final int wholeAfterTimeMs;

    /** The size of the body; that of a flow depends on its request's time. */
    private final int size;
    /** How the body is written; null if it is no flow. */
    @SuppressWarnings("ImmutableEnumChecker") // A record of immutable values.
    private final BodyFlow flow;

    EndpointAnswer(Extent extent, int size) {
        this.extent = extent;
        this.size = size;
        wholeAfterTimeMs = Integer.MAX_VALUE;
        flow = null;
    }

    EndpointAnswer(BodyFlow flow) {
        extent = Extent.FLOW;
        size = 0;
        wholeAfterTimeMs = Integer.MAX_VALUE;
        this.flow = flow;
    }

    EndpointAnswer(int wholeAfterTimeMs, int size) {
        extent = Extent.WHOLE;
        this.size = size;
        this.wholeAfterTimeMs = wholeAfterTimeMs;
        flow = null;
    }

    /** Returns the body of the answer to a request whose client waits for {@code timeMs}. */
    byte[] body(String requestId, int timeMs) {
        return LongBodies.bytes(requestId.hashCode(), flow == null ? size : flow.bodyBytes(timeMs));
    }

    /** Returns whether the answer goes on at a sound rate until it is whole, whenever that is. */
    boolean isSoundFlow() {
        return flow != null && flow.isSound();
    }

    boolean isFlow() {
        return flow != null;
    }

    /** Returns when the last part of a flow is written, after the arrival of its request; NaN if it is no flow. */
    double lastPartMs(int timeMs) {
        return flow == null ? Double.NaN : flow.lastPartMs(timeMs);
    }

    /** Returns whether the answer is whole this long before its request's time is up, or longer. */
    boolean isWholeBefore(int beforeTimeMs) {
        return extent == Extent.AT_ONCE || (extent == Extent.WHOLE && wholeAfterTimeMs <= -beforeTimeMs);
    }

    /** Writes the answer to a request that arrived just now and whose client waits for {@code timeMs}. */
    void write(RawHttpClient connection, String requestId, Framing framing, int timeMs) throws Exception {
        AnswerWriter writer = new AnswerWriter(connection, framing, body(requestId, timeMs));
        long startedNanos = System.nanoTime();
        if (extent == Extent.HEAD || extent == Extent.ALL_BUT_END) {
            sleepUntil(startedNanos, timeMs - LATE_BEGINNING_BEFORE_TIME_MS);
        }
        if (extent != Extent.NONE) {
            writer.head();
        }
        switch (extent) {
            case NONE, HEAD -> writer.awaitClose();
            case TRICKLE -> writer.trickle(0);
            case HALF -> writer.stopAt(size / 2);
            case ALL_BUT_END -> writer.stopAt(framing == Framing.LENGTH ? size - 1 : size);
            case PART -> writer.stopAt(PART_BYTES);
            case PART_AND_TRICKLE -> {
                writer.part(0, PART_BYTES);
                writer.trickle(PART_BYTES);
            }
            case AT_ONCE -> {
                writer.part(0, size);
                writer.end();
            }
            case WHOLE -> {
                sleepUntil(startedNanos, HALF_AFTER_MS);
                writer.part(0, size / 2);
                sleepUntil(startedNanos, timeMs + wholeAfterTimeMs);
                writer.part(size / 2, size);
                writer.end();
            }
            case FLOW -> flow.write(writer, timeMs);
            default -> throw new IllegalStateException(extent.name());
        }
    }

    private static void sleepUntil(long startedNanos, int afterMs) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(startedNanos + TimeUnit.MILLISECONDS.toNanos(afterMs) - System.nanoTime());
    }
}
