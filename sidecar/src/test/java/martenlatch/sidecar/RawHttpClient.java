package martenlatch.sidecar;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One end of an HTTP connection, spoken byte by byte, so that tests can also speak it badly. */
final class RawHttpClient implements Closeable {

    private static final int PATIENCE_MS = 20_000;

    /** A message: its first line, its headers in lower case and its body. */
    record Message(String startLine, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(startLine.split(" ", 3)[1]);
        }
    }

    final Socket socket;
    private final InputStream in;

    RawHttpClient(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(PATIENCE_MS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static RawHttpClient connect(InetSocketAddress address) throws IOException {
        return new RawHttpClient(new Socket(address.getAddress(), address.getPort()));
    }

    RawHttpClient send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        return this;
    }

    /** Connects with a small buffer for what is received, as on a poor link. */
    static RawHttpClient connect(InetSocketAddress address, int receiveBuffer) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBuffer);
        socket.connect(address);
        return new RawHttpClient(socket);
    }

    /** Is told how much of a body has come. */
    interface Progress {
        void at(int bytes) throws Exception;
    }

    byte[] read(int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + size);
        }
        return bytes;
    }

    byte[] readBody(Message head) throws IOException {
        try {
            return readBody(head, so -> {});
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the body that a head announces: by length, in chunks, or until the connection ends. */
    byte[] readBody(Message head, Progress progress) throws Exception {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.headers().containsKey("transfer-encoding")) {
            for (int size = chunk(); size > 0; size = chunk()) {
                copy(body, size, progress);
                line();
            }
            skipTrailers();
        } else if (head.headers().containsKey("content-length")) {
            copy(body, Integer.parseInt(head.headers().get("content-length")), progress);
        } else {
            in.transferTo(body);
        }
        return body.toByteArray();
    }

    private void skipTrailers() throws IOException {
        String trailer = line();
        while (!trailer.isEmpty()) {
            trailer = line();
        }
    }

    private int chunk() throws IOException {
        return Integer.parseInt(line().split(";", 2)[0].trim(), 16);
    }

    private void copy(ByteArrayOutputStream body, int size, Progress progress) throws Exception {
        for (int left = size; left > 0; ) {
            byte[] part = read(Math.min(left, 32 * 1024));
            body.write(part);
            left -= part.length;
            progress.at(body.size());
        }
    }

    Message read() throws IOException {
        Message head = readHead();
        byte[] body = in.readNBytes(Integer.parseInt(head.headers().getOrDefault("content-length", "0")));
        return new Message(head.startLine(), head.headers(), new String(body, StandardCharsets.ISO_8859_1));
    }

    Message readHead() throws IOException {
        String first = line();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(); !line.isEmpty(); line = line()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(first, headers, "");
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
    void awaitClose() throws IOException {
        try {
            in.transferTo(OutputStream.nullOutputStream());
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
