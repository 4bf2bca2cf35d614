package martenlatch.sidecar;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

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
    WHOLE_600_MS_AFTER(600, 1000);

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
        WHOLE
    }

    /** The beginning of a long answer; more than the sidecar collects. */
    private static final int PART_BYTES = 70_000;

    private static final int TRICKLE_PAUSE_MS = 50;
    /** How long before the end of its request's time an answer begins of which only the end is missing, or all. */
    private static final int LATE_BEGINNING_BEFORE_TIME_MS = 300;
    /** The time after which an answer that becomes whole has begun. */
    private static final int HALF_AFTER_MS = 100;

    private final Extent extent;
    /** The time at which the answer is whole, relative to the end of its request's time. */
    private final int wholeAfterTimeMs;

    private final int size;

    EndpointAnswer(Extent extent, int size) {
        this.extent = extent;
        this.size = size;
        wholeAfterTimeMs = Integer.MAX_VALUE;
    }

    EndpointAnswer(int wholeAfterTimeMs, int size) {
        extent = Extent.WHOLE;
        this.size = size;
        this.wholeAfterTimeMs = wholeAfterTimeMs;
    }

    /** Returns the body of the answer to a request. */
    byte[] body(String requestId) {
        return LongBodies.bytes(requestId.hashCode(), size);
    }

    /** Returns whether the answer is whole this long before its request's time is up, or longer. */
    boolean isWholeBefore(int beforeTimeMs) {
        return extent == Extent.AT_ONCE || (extent == Extent.WHOLE && wholeAfterTimeMs <= -beforeTimeMs);
    }

    /** Writes the answer to a request that arrived just now and whose client waits for {@code timeMs}. */
    void write(RawHttpClient connection, String requestId, Framing framing, int timeMs) throws Exception {
        Writer writer = new Writer(connection, framing, body(requestId));
        long startedNanos = System.nanoTime();
        if (extent == Extent.HEAD || extent == Extent.ALL_BUT_END) {
            sleepUntil(startedNanos, timeMs - LATE_BEGINNING_BEFORE_TIME_MS);
        }
        if (extent != Extent.NONE) {
            writer.head();
        }
        switch (extent) {
            case NONE, HEAD -> connection.awaitClose();
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
            default -> throw new IllegalStateException(extent.name());
        }
    }

    private static void sleepUntil(long startedNanos, int afterMs) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(startedNanos + TimeUnit.MILLISECONDS.toNanos(afterMs) - System.nanoTime());
    }

    /** Writes one answer in its framing. */
    private static final class Writer {
        private final RawHttpClient connection;
        private final Framing framing;
        private final byte[] body;

        Writer(RawHttpClient connection, Framing framing, byte[] body) {
            this.connection = connection;
            this.framing = framing;
            this.body = body;
        }

        void head() throws IOException {
            connection.send(LongBodies.OK
                    + switch (framing) {
                        case LENGTH -> "Content-Length: " + body.length + "\r\n\r\n";
                        case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n";
                        case CLOSE -> "Connection: close\r\n\r\n";
                    });
        }

        void part(int from, int to) throws IOException {
            OutputStream out = connection.socket.getOutputStream();
            if (framing == Framing.CHUNKED) {
                out.write((Integer.toHexString(to - from) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
            out.write(body, from, to - from);
            if (framing == Framing.CHUNKED) {
                out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            }
        }

        void end() throws IOException {
            if (framing == Framing.CHUNKED) {
                connection.send("0\r\n\r\n");
            } else if (framing == Framing.CLOSE) {
                connection.close();
            }
        }

        void stopAt(int offset) throws IOException {
            part(0, offset);
            connection.awaitClose();
        }

        /** Writes a byte at a time until the connection ends, which is long before the body does. */
        void trickle(int from) throws Exception {
            for (int i = from; i < body.length - 1; i++) {
                Thread.sleep(TRICKLE_PAUSE_MS);
                part(i, i + 1);
            }
        }
    }
}
