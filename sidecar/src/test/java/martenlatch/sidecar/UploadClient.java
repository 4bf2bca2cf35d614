package martenlatch.sidecar;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A client that writes a request body at its own pace while it waits for the answer, and records when it got one. */
final class UploadClient {

    /** How the client writes the body. */
    enum Writing {
        AT_ONCE,
        /** In equal parts, over 1.5 s. */
        SLOWLY,
        /** Half of it, and the rest a second later. */
        PAUSES
    }

    /**
     * What the client saw.
     *
     * @param writtenMs when the last byte was written, NaN if it was not
     * @param answeredMs when the answer was whole, NaN if there was none
     * @param status the status of the answer, or 0
     */
    record Observation(double writtenMs, double answeredMs, int status) {}

    private static final int PARTS = 30;
    private static final int PART_PAUSE_MS = 50;
    private static final int HALF_PAUSE_MS = 1000;
    /** How long after its last byte, or after its first if it can't write the last one, the client waits. */
    private static final int STAY_MS = 6000;

    private final String id;
    private final int timeMs;
    private final UploadEndpoint.Pace pace;
    private final Writing writing;
    private final boolean chunked;
    private final byte[] body;
    private final RawHttpClient connection;
    private volatile long writtenNanos;

    /** Connects a client; {@code sendBufferBytes} is 0 for the system's default. */
    UploadClient(
            InetSocketAddress address,
            String id,
            int timeMs,
            UploadEndpoint.Pace pace,
            Writing writing,
            boolean chunked,
            byte[] body,
            int sendBufferBytes)
            throws IOException {
        this.id = id;
        this.timeMs = timeMs;
        this.pace = pace;
        this.writing = writing;
        this.chunked = chunked;
        this.body = body;
        Socket socket = new Socket();
        if (sendBufferBytes > 0) {
            socket.setSendBufferSize(sendBufferBytes);
        }
        socket.connect(address);
        connection = new RawHttpClient(socket);
    }

    Observation run() throws Exception {
        try (connection) {
            long startedNanos = System.nanoTime();
            Thread writer = new Thread(this::write, "upload");
            writer.setDaemon(true);
            writer.start();
            connection.socket.setSoTimeout(STAY_MS + (writing == Writing.AT_ONCE ? 0 : PARTS * PART_PAUSE_MS));
            int status = 0;
            double answeredMs = Double.NaN;
            try {
                status = connection.read().status();
                answeredMs = SidecarFixture.elapsedMs(startedNanos);
            } catch (IOException e) {
                // There is no answer.
                status = 0;
            }
            double writtenMs = writtenNanos == 0 ? Double.NaN : (writtenNanos - startedNanos) / 1e6;
            return new Observation(writtenMs, answeredMs, status);
        }
    }

    private void write() {
        try {
            connection.send("POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id
                    + "\r\nX-Class: order\r\nX-Deadline-Ms: "
                    + timeMs + "\r\n" + UploadEndpoint.PACE_HEADER + ": " + pace + "\r\n"
                    + (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + body.length + "\r\n\r\n"));
            switch (writing) {
                case AT_ONCE -> writePart(0, body.length);
                case SLOWLY -> {
                    for (int i = 0; i < PARTS; i++) {
                        TimeUnit.MILLISECONDS.sleep(PART_PAUSE_MS);
                        writePart((int) ((long) body.length * i / PARTS), (int) ((long) body.length * (i + 1) / PARTS));
                    }
                }
                case PAUSES -> {
                    writePart(0, body.length / 2);
                    TimeUnit.MILLISECONDS.sleep(HALF_PAUSE_MS);
                    writePart(body.length / 2, body.length);
                }
                default -> throw new IllegalStateException(writing.name());
            }
            if (chunked) {
                connection.send("0\r\n\r\n");
            }
            writtenNanos = System.nanoTime();
        } catch (IOException e) {
            // The connection has ended, as the client was answered or waits no longer.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writePart(int from, int to) throws IOException {
        OutputStream out = connection.socket.getOutputStream();
        if (chunked) {
            out.write((Integer.toHexString(to - from) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(body, from, to - from);
        if (chunked) {
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }
}
