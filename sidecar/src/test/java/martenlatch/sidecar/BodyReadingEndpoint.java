package martenlatch.sidecar;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that reads bodies of any form, at a pace, and can break off. */
final class BodyReadingEndpoint implements AutoCloseable {
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger open = new AtomicInteger();
    volatile int breakAfter = Integer.MAX_VALUE;
    volatile int stopAfter = Integer.MAX_VALUE;
    volatile String early;
    private final LinkedBlockingQueue<byte[]> received;
    private final int pauseMs;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final FakeEndpoint place;
    private final ServerSocket listener;
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    BodyReadingEndpoint(LinkedBlockingQueue<byte[]> received, int pauseMs) throws IOException {
        this.received = received;
        this.pauseMs = pauseMs;
        // Closed and opened again, its port might be another's by then.
        place = FakeEndpoint.listeningOnly();
        listener = place.listener;
        start(this::accept);
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task, "body-reading endpoint");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    FakeEndpoint fakeEndpoint() {
        return place;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                open.incrementAndGet();
                sockets.add(socket);
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
                RawHttpClient.Message head = wire.readHead();
                if (early != null) {
                    wire.send(early).awaitClose();
                    return;
                }
                byte[] body = wire.readBody(head, so -> {
                    if (so > breakAfter) {
                        wire.reset();
                    }
                    if (so > stopAfter) {
                        new CountDownLatch(1).await();
                    }
                    Thread.sleep(pauseMs);
                });
                received.add(body);
                wire.send(LongBodies.OK + "Content-Length: 5\r\n\r\neaten");
            }
        } catch (Exception e) {
            // The connection is over, which the counter below tells.
            return;
        } finally {
            open.decrementAndGet();
        }
    }

    /** A socket that a thread still waits on is open until that thread is off it: so all are joined. */
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
