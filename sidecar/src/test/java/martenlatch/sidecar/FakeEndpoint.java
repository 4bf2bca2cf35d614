package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A server on loopback that does with each request what the test says. */
final class FakeEndpoint implements Closeable {

    /** What to do with a request. */
    interface Script {
        void on(RawHttpClient wire, RawHttpClient.Message request) throws Exception;
    }

    private static final int BACKLOG = 50;

    final ServerSocket listener;
    final List<RawHttpClient.Message> requests = new CopyOnWriteArrayList<>();
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger open = new AtomicInteger();
    /** Checks that failed in scripts, on threads of their own: whoever closes the endpoint hears of them. */
    private final List<AssertionError> failedChecks = new CopyOnWriteArrayList<>();

    volatile Script script;
    private Thread acceptor;

    FakeEndpoint(Script script) throws IOException {
        this(new InetSocketAddress("127.0.0.1", 0), script);
    }

    /** One that listens at a certain address. */
    FakeEndpoint(InetSocketAddress address, Script script) throws IOException {
        this(address);
        this.script = script;
        acceptor = start(this::accept);
    }

    private FakeEndpoint(InetSocketAddress address) throws IOException {
        listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    }

    /** A place that listens, for whoever takes the connections there himself. */
    static FakeEndpoint listeningOnly() throws IOException {
        return new FakeEndpoint(new InetSocketAddress("127.0.0.1", 0));
    }

    /** An endpoint that serves every request. */
    static FakeEndpoint serving() throws IOException {
        return answering(200, "", "served");
    }

    static FakeEndpoint answering(int status, String headers, String body) throws IOException {
        return new FakeEndpoint((wire, request) -> answer(wire, status, headers, body));
    }

    static void answer(RawHttpClient wire, int status, String headers, String body) throws IOException {
        wire.send("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

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
            // The test is over.
            return;
        }
    }

    private void serve(Socket socket) {
        try (RawHttpClient wire = new RawHttpClient(socket)) {
            while (true) {
                RawHttpClient.Message request = wire.read();
                requests.add(request);
                script.on(wire, request);
            }
        } catch (Exception e) {
            // The connection is over, which the counter below tells.
            return;
        } catch (AssertionError e) {
            failedChecks.add(e);
        } finally {
            open.decrementAndGet();
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task, "fake");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** While a thread waits on it the system keeps a closed listener, and takes one more connection. */
    @Override
    public void close() throws IOException {
        listener.close();
        try {
            if (acceptor != null) {
                acceptor.join(SidecarFixture.AWAIT_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!failedChecks.isEmpty()) {
            throw failedChecks.get(0);
        }
    }
}
