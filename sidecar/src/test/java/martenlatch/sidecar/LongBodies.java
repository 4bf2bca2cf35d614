package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Makes, writes and reads bodies that are long, or come in pieces. */
final class LongBodies {

    static final int MB = 1024 * 1024;
    static final String OK = "HTTP/1.1 200 OK\r\n";

    private LongBodies() {}

    static byte[] bytes(int seed, int size) {
        byte[] made = new byte[size];
        new Random(seed).nextBytes(made);
        return made;
    }

    /** A body in chunks of odd sizes. */
    static byte[] chunked(byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; ) {
            int size = Math.min(body.length - at, 1 + at % 30_011);
            out.write((Integer.toHexString(size) + ";x=y\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, size);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            at += size;
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    static void write(RawHttpClient wire, String head, byte[] body) throws IOException {
        OutputStream out = wire.socket.getOutputStream();
        out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
    }

    /** Reads one answer whole: by its length, its chunks, or its connection's end. */
    static byte[] body(RawHttpClient wire) throws IOException {
        RawHttpClient.Message head = wire.readHead();
        assertEquals(200, head.status());
        return wire.readBody(head);
    }
}
