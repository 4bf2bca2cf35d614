package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on a loopback address that handles each request by a script of the test. */
final class FakeEndpoint implements Closeable {

    /** Handles a request that arrived on a connection. */
    interface Script {
        void on(RawHttpClient connection, RawHttpClient.Message request) throws Exception;
    }

    /** The header with the rate at which an endpoint reads the body, in bytes per millisecond. */
    static final String READ_RATE_HEADER = "x-read-rate";
    /** The length of the accept queue. */
    private static final int BACKLOG = 50;

    final ServerSocket listener;
    final List<RawHttpClient.Message> requests = new CopyOnWriteArrayList<>();
    /** The number of connections that have been accepted so far. */
    final AtomicInteger connections = new AtomicInteger();
    /** The number of connections that are open now. */
    final AtomicInteger open = new AtomicInteger();
    /** Assertions that failed in scripts, which run on other threads; {@link #close} throws the first one. */
    private final List<AssertionError> failedAssertions = new CopyOnWriteArrayList<>();

    volatile Script script;
    private Thread acceptThread;

    FakeEndpoint(Script script) throws IOException {
        this(new InetSocketAddress("127.0.0.1", 0), script);
    }

    /** Creates an endpoint that listens on the given address. */
    FakeEndpoint(InetSocketAddress address, Script script) throws IOException {
        this(address);
        this.script = script;
        acceptThread = start(this::accept);
    }

    private FakeEndpoint(InetSocketAddress address) throws IOException {
        listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    }

    /** Returns an endpoint that listens but leaves it to the test to accept connections. */
    static FakeEndpoint listeningOnly() throws IOException {
        return new FakeEndpoint(new InetSocketAddress("127.0.0.1", 0));
    }

    /** Returns an endpoint that serves every request. */
    static FakeEndpoint serving() throws IOException {
        return answering(200, "", "served");
    }

    /** Returns an endpoint that sends the same response to every request. */
    static FakeEndpoint answering(int status, String headers, String body) throws IOException {
        return new FakeEndpoint((connection, request) -> answer(connection, status, headers, body));
    }

    /** Sends a response; {@code headers} are complete lines. */
    static void answer(RawHttpClient connection, int status, String headers, String body) throws IOException {
        connection.send(
                "HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Returns the address as host and port. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                open.incrementAndGet();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
            return;
        }
    }

    private void serve(Socket socket) {
        try (RawHttpClient connection = new RawHttpClient(socket)) {
            while (true) {
                RawHttpClient.Message request = read(connection);
                requests.add(request);
                script.on(connection, request);
            }
        } catch (Exception e) {
            // The connection has ended, which the counter below reflects.
            return;
        } catch (AssertionError e) {
            failedAssertions.add(e);
        } finally {
            open.decrementAndGet();
        }
    }

    /** Reads a request; its body at the rate that a header asks for, if there is one. */
    private static RawHttpClient.Message read(RawHttpClient connection) throws Exception {
        RawHttpClient.Message head = connection.readHead();
        String rate = head.headers().get(READ_RATE_HEADER);
        if (rate == null) {
            return connection.readRest(head);
        }
        double bytesPerMs = Double.parseDouble(rate);
        long startedNanos = System.nanoTime();
        byte[] body = connection.readBody(head, bytes -> {
            double aheadMs = bytes / bytesPerMs - SidecarFixture.elapsedMs(startedNanos);
            Thread.sleep((long) Math.max(0, aheadMs));
        });
        return new RawHttpClient.Message(
                head.startLine(), head.headers(), new String(body, StandardCharsets.ISO_8859_1));
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "fake");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Closes the listener and waits for the thread that accepts connections: while that thread blocks in accept(), the
     * system keeps the closed listener and accepts one more connection.
     */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            if (acceptThread != null) {
                acceptThread.join(SidecarFixture.AWAIT_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!failedAssertions.isEmpty()) {
            throw failedAssertions.get(0);
        }
    }
}
