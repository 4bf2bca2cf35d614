package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Endpoints that read request bodies at the pace that their clients ask for in a header, then serve the request. */
final class UploadEndpoint implements Closeable {

    /** The header that names the {@link Pace}. */
    static final String PACE_HEADER = "X-Plan";

    /** How an endpoint reads a request body. */
    enum Pace {
        AT_ONCE(Integer.MAX_VALUE, Integer.MAX_VALUE, 0),
        KBPS_600(600, Integer.MAX_VALUE, 0),
        KBPS_60(60, Integer.MAX_VALUE, 0),
        KBPS_20(20, Integer.MAX_VALUE, 0),
        /** Reads on after a pause of 1.5 s. */
        RESUMES(Integer.MAX_VALUE, 100_000, 1500),
        /** Reads no more after 100 kB. */
        STOPS(Integer.MAX_VALUE, 100_000, 600_000),
        /** Reads 100 kB, and then 8 kB a second. */
        CREEPS(8, 100_000, 0);

        private final int bytesPerMs;
        /** The number of bytes after which the rate or the pause applies; the rate from the start if there is none. */
        private final int changesAfterBytes;

        private final int pauseMs;

        Pace(int bytesPerMs, int changesAfterBytes, int pauseMs) {
            this.bytesPerMs = bytesPerMs;
            this.changesAfterBytes = changesAfterBytes;
            this.pauseMs = pauseMs;
        }

        /** Returns the time that it takes to read this many bytes, in milliseconds. */
        double durationMs(int bytes) {
            int slowBytes = changesAfterBytes == Integer.MAX_VALUE ? bytes : Math.max(0, bytes - changesAfterBytes);
            return (double) slowBytes / bytesPerMs + (slowBytes > 0 ? pauseMs : 0);
        }
    }

    private final FakeEndpoint listening = FakeEndpoint.listeningOnly();
    /** How often each id was executed. */
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();

    /** Creates an endpoint whose system receives no faster than the endpoint reads. */
    UploadEndpoint(int receiveBufferBytes) throws IOException {
        listening.listener.setReceiveBufferSize(receiveBufferBytes);
        start(this::accept);
    }

    FakeEndpoint fakeEndpoint() {
        return listening;
    }

    int executions(String requestId) {
        return executions.getOrDefault(requestId, 0);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "upload endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.listener.accept();
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
                RawHttpClient.Message head = connection.readHead();
                Pace pace = Pace.valueOf(head.headers().getOrDefault("x-plan", "AT_ONCE"));
                long startedNanos = System.nanoTime();
                connection.readBody(head, bytes -> sleepUntil(startedNanos, pace.durationMs(bytes)));
                executions.merge(head.headers().get("x-request-id"), 1, Integer::sum);
                FakeEndpoint.answer(connection, 200, "", "served");
            }
        } catch (Exception e) {
            // The connection has ended.
            return;
        }
    }

    private static void sleepUntil(long startedNanos, double afterMs) throws InterruptedException {
        long dueNanos = startedNanos + (long) (afterMs * TimeUnit.MILLISECONDS.toNanos(1));
        TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }
}
