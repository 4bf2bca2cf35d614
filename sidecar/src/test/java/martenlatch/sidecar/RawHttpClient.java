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

/** One end of an HTTP/1.1 connection, client or server, that sends raw text so that tests can violate the protocol. */
final class RawHttpClient implements Closeable {

    private static final int READ_TIMEOUT_MS = 20_000;

    /** An HTTP message; the names of its headers are in lower case. */
    record Message(String startLine, Map<String, String> headers, String body) {
        int status() {
            return Integer.parseInt(startLine.split(" ", 3)[1]);
        }
    }

    final Socket socket;
    /** The time of the first byte of the last message read, on {@link System#nanoTime}. */
    volatile long firstByteNanos;

    private final InputStream in;

    RawHttpClient(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(READ_TIMEOUT_MS);
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

    /** Connects with a receive buffer of the given size; a small one simulates a slow link. */
    static RawHttpClient connect(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(receiveBufferBytes);
        socket.connect(address);
        return new RawHttpClient(socket);
    }

    /** Is notified how many bytes of a body have been received. */
    interface ProgressListener {
        void onProgress(int bytes) throws Exception;
    }

    byte[] read(int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection closed after " + bytes.length + " of " + size);
        }
        return bytes;
    }

    byte[] readBody(Message head) throws IOException {
        try {
            return readBody(head, totalBytes -> {});
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Reads the body that belongs to a head: by its length, in chunks, or until the connection closes. */
    byte[] readBody(Message head, ProgressListener progressListener) throws Exception {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (head.headers().containsKey("transfer-encoding")) {
            for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
                readInto(body, size, progressListener);
                readLine();
            }
            skipTrailers();
        } else if (head.headers().containsKey("content-length")) {
            readInto(body, Integer.parseInt(head.headers().get("content-length")), progressListener);
        } else {
            in.transferTo(body);
        }
        return body.toByteArray();
    }

    private void skipTrailers() throws IOException {
        String trailer = readLine();
        while (!trailer.isEmpty()) {
            trailer = readLine();
        }
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine().split(";", 2)[0].trim(), 16);
    }

    private void readInto(ByteArrayOutputStream body, int size, ProgressListener progressListener) throws Exception {
        for (int remaining = size; remaining > 0; ) {
            byte[] part = read(Math.min(remaining, 32 * 1024));
            body.write(part);
            remaining -= part.length;
            progressListener.onProgress(body.size());
        }
    }

    /** Reads a message whose body is delimited by Content-Length, or empty without that header. */
    Message read() throws IOException {
        return readRest(readHead());
    }

    /** Reads the body of a message as {@link #read} does, and returns it with its head. */
    Message readRest(Message head) throws IOException {
        byte[] body = in.readNBytes(Integer.parseInt(head.headers().getOrDefault("content-length", "0")));
        return new Message(head.startLine(), head.headers(), new String(body, StandardCharsets.ISO_8859_1));
    }

    Message readHead() throws IOException {
        in.mark(1);
        if (in.read() >= 0) {
            firstByteNanos = System.nanoTime();
        }
        in.reset();
        String startLine = readLine();
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return new Message(startLine, headers, "");
    }

    private String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the connection closed");
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
            // A reset closes the connection as well.
            return;
        }
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
