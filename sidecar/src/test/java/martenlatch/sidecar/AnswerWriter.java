package martenlatch.sidecar;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Writes one answer of an endpoint in its framing. */
final class AnswerWriter {

    private static final int TRICKLE_PAUSE_MS = 50;

    private final RawHttpClient connection;
    private final EndpointAnswer.Framing framing;
    private final byte[] body;

    AnswerWriter(RawHttpClient connection, EndpointAnswer.Framing framing, byte[] body) {
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
        if (framing == EndpointAnswer.Framing.CHUNKED) {
            out.write((Integer.toHexString(to - from) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(body, from, to - from);
        if (framing == EndpointAnswer.Framing.CHUNKED) {
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    void end() throws IOException {
        if (framing == EndpointAnswer.Framing.CHUNKED) {
            connection.send("0\r\n\r\n");
        } else if (framing == EndpointAnswer.Framing.CLOSE) {
            connection.close();
        }
    }

    void stopAt(int offset) throws IOException {
        part(0, offset);
        awaitClose();
    }

    void awaitClose() throws IOException {
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
