package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Creates, writes and reads long and chunked bodies. */
final class LongBodies {

    static final int MB = 1024 * 1024;
    static final String OK = "HTTP/1.1 200 OK\r\n";

    private LongBodies() {}

    /** Returns pseudo-random bytes. */
    static byte[] bytes(int seed, int size) {
        byte[] bytes = new byte[size];
        new Random(seed).nextBytes(bytes);
        return bytes;
    }

    /** Returns the body encoded in chunks of varying sizes, with chunk extensions and a trailer. */
    static byte[] chunked(byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int offset = 0; offset < body.length; ) {
            int size = Math.min(body.length - offset, 1 + offset % 30_011);
            out.write((Integer.toHexString(size) + ";x=y\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, offset, size);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            offset += size;
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    /** Writes a head, which lacks the final empty line, and a body. */
    static void write(RawHttpClient connection, String head, byte[] body) throws IOException {
        OutputStream out = connection.socket.getOutputStream();
        out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
    }

    /** Reads the body of one response, which ends by its length, its last chunk or the end of the connection. */
    static byte[] body(RawHttpClient connection) throws IOException {
        RawHttpClient.Message head = connection.readHead();
        assertEquals(200, head.status());
        return connection.readBody(head);
    }
}
