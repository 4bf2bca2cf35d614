package martenlatch.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One end of an HTTP connection, spoken byte by byte, so that tests can also speak it badly. */
final class Wire implements Closeable {

    private static final int PATIENCE_MS = 20_000;

    /** A message: its first line, its headers in lower case and its body. */
    record Message(String line, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    final Socket socket;
    private final InputStream in;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        in = socket.getInputStream();
    }

    static Wire to(InetSocketAddress address) throws IOException {
        return new Wire(new Socket(address.getAddress(), address.getPort()));
    }

    Wire send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    Message read() throws IOException {
        String first = line();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(first, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private String line() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection ended");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Waits until the other side has closed or reset the connection. */
    void awaitEnd() throws IOException {
        try {
            while (in.read() >= 0) {
                continue;
            }
        } catch (java.net.SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            // A reset ends it as well.
            return;
        }
    }

    /** Closes with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
