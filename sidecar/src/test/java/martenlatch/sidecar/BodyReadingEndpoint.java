package martenlatch.sidecar;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that reads request bodies of any framing at a limited pace, and can reset, stall or respond early. */
final class BodyReadingEndpoint implements AutoCloseable {
    /** The number of accepted connections. */
    final AtomicInteger connections = new AtomicInteger();
    /** The number of open connections. */
    final AtomicInteger openConnections = new AtomicInteger();
    /** Resets the connection when more than this number of body bytes is read. */
    volatile int resetAfterBytes = Integer.MAX_VALUE;
    /** Stops reading when more than this number of body bytes is read. */
    volatile int stopAfterBytes = Integer.MAX_VALUE;
    /** The response to send before the body is read, or null. */
    volatile String earlyResponse;

    private final LinkedBlockingQueue<byte[]> received;
    private final int pauseMs;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final FakeEndpoint fakeEndpoint;
    private final ServerSocket listener;
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    BodyReadingEndpoint(LinkedBlockingQueue<byte[]> received, int pauseMs) throws IOException {
        this.received = received;
        this.pauseMs = pauseMs;
        // Keeps the listening socket open: after a close another process might take its port.
        fakeEndpoint = FakeEndpoint.listeningOnly();
        listener = fakeEndpoint.listener;
        start(this::accept);
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task, "body-reading endpoint");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    FakeEndpoint fakeEndpoint() {
        return fakeEndpoint;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                openConnections.incrementAndGet();
                sockets.add(socket);
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test is over.
            return;
        }
    }

    private void serve(Socket socket) {
        try (RawHttpClient connection = new RawHttpClient(socket)) {
            while (true) {
                RawHttpClient.Message head = connection.readHead();
                if (earlyResponse != null) {
                    connection.send(earlyResponse).awaitClose();
                    return;
                }
                byte[] body = connection.readBody(head, bytesRead -> {
                    if (bytesRead > resetAfterBytes) {
                        connection.reset();
                    }
                    if (bytesRead > stopAfterBytes) {
                        new CountDownLatch(1).await();
                    }
                    Thread.sleep(pauseMs);
                });
                received.add(body);
                connection.send(LongBodies.OK + "Content-Length: 5\r\n\r\neaten");
            }
        } catch (Exception e) {
            // The connection has ended; the counter below is decremented.
            return;
        } finally {
            openConnections.decrementAndGet();
        }
    }

    /** Closes all sockets and joins all threads, because a socket stays open while a thread is blocked on it. */
    @Override
    public void close() throws IOException, InterruptedException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        for (Thread thread : threads) {
            thread.interrupt();
            thread.join(SidecarFixture.AWAIT_TIMEOUT_MS);
        }
    }
}
