package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that establishes no connections until {@link #startAccepting}. Its accept queue is full until then, so
 * the operating system drops connection attempts and the client's system repeats them a second later.
 */
final class DelayedAcceptEndpoint implements Closeable {

    private static final int CONNECT_TIMEOUT_MS = 300;

    final List<RawHttpClient.Message> requests = new CopyOnWriteArrayList<>();
    /** The number of connections that were accepted and have ended. */
    final AtomicInteger endedConnections = new AtomicInteger();

    private final ServerSocket listener;
    private final List<Socket> queuedSockets = new ArrayList<>();

    DelayedAcceptEndpoint() throws IOException {
        this(listenWithShortBacklog());
    }

    /** Creates an endpoint on a socket that may have accepted connections before. */
    DelayedAcceptEndpoint(ServerSocket listeningSocket) throws IOException {
        listener = listeningSocket;
        boolean connected = true;
        while (connected) {
            connected = fillQueueSlot();
        }
    }

    /** Opens a listening socket with a backlog of one connection. */
    static ServerSocket listenWithShortBacklog() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    }

    /** Adds a connection to the accept queue. Returns false if the queue is full. */
    private boolean fillQueueSlot() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(
                    new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()), CONNECT_TIMEOUT_MS);
            queuedSockets.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Empties the accept queue, and accepts and serves connections from now on. */
    void startAccepting() throws IOException {
        for (Socket socket : queuedSockets) {
            socket.close();
        }
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                start(() -> serve(socket));
            }
        });
    }

    private void serve(Socket socket) throws IOException {
        try (RawHttpClient connection = new RawHttpClient(socket)) {
            while (true) {
                RawHttpClient.Message request = connection.read();
                requests.add(request);
                FakeEndpoint.answer(connection, 200, "", "late");
            }
        } finally {
            endedConnections.incrementAndGet();
        }
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void start(IoTask task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The peer has disconnected, or the test is over.
                        return;
                    }
                },
                "late endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : queuedSockets) {
            socket.close();
        }
    }
}
