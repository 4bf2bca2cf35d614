package martenlatch.sidecar;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A client of a sidecar that sends one request, or two on one connection, and records what it sees of the answers. */
final class WaitingClient {

    /** What the client does while it waits, and which other request it has on the connection. */
    enum Conduct {
        LEAVES_AT_TIME,
        LEAVES_60_MS_AFTER,
        STAYS,
        HALF_CLOSES,
        READS_LATE,
        HTTP_1_0,
        REQUEST_BEHIND,
        LONGER_REQUEST_BEHIND,
        SHORTER_REQUEST_BEHIND,
        LATER_REQUEST_BEHIND,
        REQUEST_AHEAD
    }

    /** How the answer to a request ended. */
    enum End {
        /** The answer is whole, as far as the client can tell. */
        WHOLE,
        /** The connection ended, and the client can tell that the answer is not whole. */
        CUT,
        /** The client has left, or waits no longer. */
        OPEN
    }

    /**
     * A request.
     *
     * @param timeMs how long the client waits for the answer
     */
    record Request(String id, String requestClass, EndpointAnswer answer, EndpointAnswer.Framing framing, int timeMs) {
        /** Returns when the last part of an answer is written that goes on for a while; NaN for any other answer. */
        double lastPartMs() {
            return answer.lastPartMs(timeMs);
        }

        String text(String version) {
            String head = "/api " + version + "\r\nHost: a\r\nConnection: keep-alive\r\nX-Request-Id: " + id
                    + "\r\nX-Class: " + requestClass + "\r\nX-Deadline-Ms: " + timeMs + "\r\n"
                    + TableEndpoints.PLAN_HEADER
                    + ": " + answer + "," + framing + "," + timeMs + "\r\n";
            return requestClass.equals("order")
                    ? "POST " + head + "Content-Length: 2\r\n\r\nhi"
                    : "GET " + head + "\r\n";
        }
    }

    /**
     * What the client saw of the answer to a request. Times are relative to the request's last byte; NaN for what did
     * not happen.
     *
     * @param status the status of the answer, or 0 if its head did not arrive
     * @param body the body of a whole answer in ISO 8859-1, else empty
     */
    record Observation(
            Request request, long sentNanos, double firstByteMs, double endMs, End end, int status, String body) {}

    /** The time after its own at which the client that reads late begins to read. */
    private static final int LATE_READ_MS = 1000;

    private static final int LATE_READER_BUFFER_BYTES = 16 * 1024;
    /** The time after its request's at which a client that stays gives up. */
    private static final int STAY_MS = LATE_READ_MS + 2000;

    private static final int LEAVE_DELAY_MS = 60;
    /** The difference of the times of a longer and a shorter request. */
    private static final int TIME_DIFFERENCE_MS = 250;

    private static final int LATER_REQUEST_MS = 150;
    private static final ScheduledExecutorService TIMER = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "leaving-clients");
        thread.setDaemon(true);
        return thread;
    });

    private final Conduct conduct;
    private final Request request;
    private final RawHttpClient connection;
    private volatile boolean hasLeft;

    WaitingClient(InetSocketAddress address, Conduct conduct, Request request) throws IOException {
        this.conduct = conduct;
        this.request = request;
        connection = conduct == Conduct.READS_LATE
                ? RawHttpClient.connect(address, LATE_READER_BUFFER_BYTES)
                : RawHttpClient.connect(address);
    }

    Conduct conduct() {
        return conduct;
    }

    Request request() {
        return request;
    }

    /** Sends the requests and returns what became of each, the one of the table's row first. */
    List<Observation> run() throws Exception {
        try (connection) {
            return switch (conduct) {
                case REQUEST_AHEAD -> {
                    Request ahead = other(EndpointAnswer.WHOLE_200_MS_BEFORE, request.timeMs());
                    List<Observation> seen = sendTogether(ahead, request);
                    yield List.of(seen.get(1), seen.get(0));
                }
                case REQUEST_BEHIND -> sendTogether(request, quick(request.timeMs()));
                case LONGER_REQUEST_BEHIND -> sendTogether(request, quick(request.timeMs() + TIME_DIFFERENCE_MS));
                case SHORTER_REQUEST_BEHIND -> sendTogether(request, quick(request.timeMs() - TIME_DIFFERENCE_MS));
                case LATER_REQUEST_BEHIND -> sendLater(quick(request.timeMs()));
                default -> List.of(sendAlone());
            };
        }
    }

    private Request quick(int timeMs) {
        return other(EndpointAnswer.AT_ONCE, timeMs);
    }

    private Request other(EndpointAnswer answer, int timeMs) {
        return new Request(request.id() + "-2", request.requestClass(), answer, EndpointAnswer.Framing.LENGTH, timeMs);
    }

    private Observation sendAlone() throws Exception {
        connection.send(request.text(conduct == Conduct.HTTP_1_0 ? "HTTP/1.0" : "HTTP/1.1"));
        long sentNanos = System.nanoTime();
        if (conduct == Conduct.HALF_CLOSES) {
            connection.socket.shutdownOutput();
        } else if (conduct == Conduct.READS_LATE) {
            Thread.sleep(request.timeMs() + LATE_READ_MS);
        }
        int stayMs =
                switch (conduct) {
                    case LEAVES_AT_TIME -> 0;
                    case LEAVES_60_MS_AFTER -> LEAVE_DELAY_MS;
                    default -> stayMs(request) - request.timeMs();
                };
        return receive(request, sentNanos, request.timeMs() + stayMs);
    }

    private List<Observation> sendTogether(Request first, Request second) throws IOException {
        connection.send(first.text("HTTP/1.1") + second.text("HTTP/1.1"));
        long sentNanos = System.nanoTime();
        List<Observation> seen = new ArrayList<>();
        for (Request sent : List.of(first, second)) {
            seen.add(receive(sent, sentNanos, Math.max(stayMs(first), stayMs(second))));
        }
        return seen;
    }

    private List<Observation> sendLater(Request second) throws Exception {
        connection.send(request.text("HTTP/1.1"));
        long firstSentNanos = System.nanoTime();
        Thread.sleep(LATER_REQUEST_MS);
        connection.send(second.text("HTTP/1.1"));
        long secondSentNanos = System.nanoTime();
        return List.of(
                receive(request, firstSentNanos, stayMs(request)), receive(second, secondSentNanos, stayMs(request)));
    }

    /** Returns how long a client stays that waits for an answer, and for others behind it. */
    private static int stayMs(Request first) {
        return Math.max(first.timeMs(), (int) first.lastPartMs()) + STAY_MS;
    }

    /** Reads an answer until it ends; leaves {@code untilMs} after its request was sent. */
    private Observation receive(Request sent, long sentNanos, int untilMs) {
        connection.firstByteNanos = 0;
        long leaveNanos = sentNanos + TimeUnit.MILLISECONDS.toNanos(untilMs);
        Future<?> leaving = TIMER.schedule(this::leave, leaveNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        int status = 0;
        String body = "";
        End end;
        try {
            RawHttpClient.Message head = connection.readHead();
            status = head.status();
            body = new String(connection.readBody(head), StandardCharsets.ISO_8859_1);
            end = End.WHOLE;
        } catch (IOException e) {
            end = hasLeft ? End.OPEN : End.CUT;
        } finally {
            leaving.cancel(false);
        }
        double firstByteMs =
                connection.firstByteNanos == 0 ? Double.NaN : (connection.firstByteNanos - sentNanos) / 1e6;
        return new Observation(sent, sentNanos, firstByteMs, SidecarFixture.elapsedMs(sentNanos), end, status, body);
    }

    private void leave() {
        hasLeft = true;
        try {
            connection.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
