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

/**
 * An endpoint to which connections don't come up until it is let: its queue is full before, so that the
 * system drops what knocks, and whoever knocks does so again a second later.
 */
final class DelayedAcceptEndpoint implements Closeable {

    private static final int KNOCK_MS = 300;

    final List<RawHttpClient.Message> requests = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    private final List<Socket> inQueue = new ArrayList<>();

    DelayedAcceptEndpoint() throws IOException {
        this(listenWithShortBacklog());
    }

    /** One at a place that has taken connections before. */
    DelayedAcceptEndpoint(ServerSocket place) throws IOException {
        listener = place;
        boolean connected = true;
        while (connected) {
            connected = knock();
        }
    }

    /** A place whose queue is short. */
    static ServerSocket listenWithShortBacklog() throws IOException {
        return new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    }

    private boolean knock() throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()), KNOCK_MS);
            inQueue.add(socket);
            return true;
        } catch (SocketTimeoutException e) {
            socket.close();
            return false;
        }
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on it takes connections, and serves. */
    void startAccepting() throws IOException {
        for (Socket socket : inQueue) {
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
        try (RawHttpClient wire = new RawHttpClient(socket)) {
            while (true) {
                RawHttpClient.Message request = wire.read();
                requests.add(request);
                FakeEndpoint.answer(wire, 200, "", "late");
            }
        }
    }

    private interface Work {
        void run() throws IOException;
    }

    private static void start(Work work) {
        Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        // The other side has left, or the test is over.
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
        for (Socket socket : inQueue) {
            socket.close();
        }
    }
}
