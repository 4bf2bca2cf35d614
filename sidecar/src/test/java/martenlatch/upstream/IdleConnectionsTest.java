package martenlatch.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.DoubleAdder;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointList;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests when connections are reused: real sockets to an endpoint that the test plays, on a manual clock. */
@Timeout(60)
class IdleConnectionsTest {

    private static final double IDLE_CLOSE_MS = 1000;
    private static final long TIMEOUT_S = 20;
    /** The size of a body that exceeds the socket buffers, so that it is not written completely if nobody reads it. */
    private static final int LARGE_BODY_BYTES = 8 * 1024 * 1024;

    /** The conditions that the pool checks before it writes an attempt, controlled by the test. */
    private final class TestConditions implements Transport.WriteConditions {
        @Override
        public double remainingMs() {
            return responseDeadlineMs - clockMs.sum();
        }

        @Override
        public boolean isClientConnected() {
            return clientConnected;
        }
    }

    private record AttemptEnd(AttemptOutcome outcome, EndpointResponse response) {}

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private static final double START_MS = 1_000_000;

    /** The current time in milliseconds, which the tests advance from their own thread. */
    private final DoubleAdder clockMs = new DoubleAdder();

    private volatile double responseDeadlineMs = START_MS + 5000;
    private volatile boolean clientConnected = true;
    private final Transport.WriteConditions conditions = new TestConditions();
    private final ServerSocket endpointListener;
    private final LinkedBlockingQueue<AttemptEnd> ends = new LinkedBlockingQueue<>();
    private EndpointPool pool;

    IdleConnectionsTest() throws Exception {
        clockMs.add(START_MS);
        endpointListener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        endpointListener.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        // Timers never fire, as on an event loop that is blocked.
        Scheduler scheduler = new Scheduler() {
            @Override
            public double now() {
                return clockMs.sum();
            }

            @Override
            public Timer after(double ms, Runnable task) {
                return () -> {};
            }
        };
        loop.submit(() -> {
                    pool = new EndpointPool(
                            loop,
                            scheduler,
                            new RateLimitedLogger(scheduler, new PrintStream(OutputStream.nullOutputStream())),
                            5000,
                            IDLE_CLOSE_MS,
                            100);
                    Endpoint server = new Endpoint("s0", 0, 0, 0, 0, EndpointStatus.READY, 1);
                    pool.update(new EndpointList(
                            1,
                            true,
                            List.of(new EndpointList.Entry(
                                    server,
                                    new InetSocketAddress(
                                            endpointListener.getInetAddress(), endpointListener.getLocalPort())))));
                })
                .get();
    }

    @AfterEach
    void close() throws Exception {
        endpointListener.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void send() {
        sendAttempt(0, Double.POSITIVE_INFINITY);
    }

    private Transport.Attempt sendAttempt(int bodyBytes, double notAfterMs) {
        return pool.transportFor(new OutgoingRequest(
                        bodyBytes == 0 ? HttpMethod.GET : HttpMethod.POST,
                        "/api",
                        new DefaultHttpHeaders(),
                        new byte[bodyBytes],
                        null))
                .send("s0", conditions, notAfterMs, (outcome, response) -> ends.add(new AttemptEnd(outcome, response)));
    }

    private static void readRequest(Socket socket) throws IOException {
        int newlines = 0;
        while (newlines < 2) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "the connection ended before a request arrived");
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
        }
    }

    private static void sendResponse(Socket socket, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private void assertServed(String body) throws InterruptedException {
        AttemptEnd end = ends.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertEquals(AttemptOutcome.OK, end.outcome());
        assertEquals(body, new String(end.response().body(), StandardCharsets.US_ASCII));
    }

    /** Serves one request and returns the endpoint's side of its connection, which is idle afterwards. */
    private Socket openIdleConnection() throws Exception {
        loop.submit(this::send).get();
        Socket first = endpointListener.accept();
        first.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        readRequest(first);
        sendResponse(first, "one");
        assertServed("one");
        return first;
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        try (Socket first = openIdleConnection()) {
            clockMs.add(11);
            loop.submit(this::send).get();
            readRequest(first);
            sendResponse(first, "two");
            assertServed("two");
        }
    }

    /** Guards against a second response, 9 ms after the first, that is taken for the response to the next request. */
    @Test
    void duplicateResponseIsNotTakenForNextResponse() throws Exception {
        try (Socket first = openIdleConnection()) {
            clockMs.add(9);
            loop.submit(this::send).get();
            sendResponse(first, "one again");
            try (Socket second = endpointListener.accept()) {
                readRequest(second);
                sendResponse(second, "two");
                assertServed("two");
                assertEquals(-1, first.getInputStream().read(), "the connection is closed");
            }
        }
    }

    /** Guards against the same fault if the bytes arrive just before the next request and are not read yet. */
    @Test
    void unreadBytesPreventReuse() throws Exception {
        try (Socket first = openIdleConnection()) {
            clockMs.add(500);
            loop.submit(() -> {
                        sendResponse(first, "one again");
                        send();
                        return null;
                    })
                    .get();
            try (Socket second = endpointListener.accept()) {
                readRequest(second);
                sendResponse(second, "two");
                assertServed("two");
            }
        }
    }

    /** Guards against sending a request on a connection that the endpoint closed before the event loop noticed. */
    @Test
    void unreadEndOfStreamPreventsReuse() throws Exception {
        Socket first = openIdleConnection();
        clockMs.add(500);
        loop.submit(() -> {
                    first.close();
                    send();
                    return null;
                })
                .get();
        try (Socket second = endpointListener.accept()) {
            readRequest(second);
            sendResponse(second, "two");
            assertServed("two");
        }
    }

    /** Guards against reusing a connection that the endpoint may close, after a blocked event loop missed the sweep. */
    @Test
    void blockedEventLoopDoesNotReuseExpiredConnection() throws Exception {
        try (Socket first = openIdleConnection()) {
            clockMs.add(IDLE_CLOSE_MS - 300);
            loop.submit(this::send).get();
            try (Socket second = endpointListener.accept()) {
                readRequest(second);
                sendResponse(second, "two");
                assertServed("two");
                assertEquals(-1, first.getInputStream().read(), "the expired connection was closed unused");
            }
        }
    }

    /**
     * A request that the kernel accepted completely may have been executed, whatever the endpoint did. A request that
     * it did not accept completely was not executed.
     */
    @Test
    void resetOutcomeDependsOnWhetherRequestWasWritten() throws Exception {
        loop.submit(this::send).get();
        try (Socket first = endpointListener.accept()) {
            // The endpoint does not read the request; closing a socket with unread bytes resets it.
            while (first.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            first.setSoLinger(true, 0);
        }
        assertEquals(
                AttemptOutcome.RESET, ends.poll(TIMEOUT_S, TimeUnit.SECONDS).outcome());
        loop.submit(() -> sendAttempt(LARGE_BODY_BYTES, Double.POSITIVE_INFINITY))
                .get();
        try (Socket second = endpointListener.accept()) {
            while (second.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            second.setSoLinger(true, 0);
        }
        assertEquals(
                AttemptOutcome.CONNECT_ERROR,
                ends.poll(TIMEOUT_S, TimeUnit.SECONDS).outcome());
    }

    /**
     * Guards against sending an attempt whose connection is established after its not-after time, if the event loop
     * processes the connect before the timer.
     */
    @Test
    void attemptIsNotSentAfterItsNotAfterTime() throws Exception {
        loop.submit(() -> {
                    sendAttempt(0, clockMs.sum() + 100);
                    clockMs.add(101);
                })
                .get();
        assertEquals(
                AttemptOutcome.NOT_EXECUTED,
                ends.poll(TIMEOUT_S, TimeUnit.SECONDS).outcome());
        try (Socket first = endpointListener.accept()) {
            assertEquals(-1, first.getInputStream().read(), "nothing was sent on the connection");
        }
        loop.submit(() -> {
                    sendAttempt(0, clockMs.sum() + 100);
                    clockMs.add(100);
                })
                .get();
        try (Socket second = endpointListener.accept()) {
            readRequest(second);
            sendResponse(second, "in time");
            assertServed("in time");
        }
        assertTrue(ends.isEmpty(), "each attempt ends once");
    }

    /** Guards against a deadline header that includes the time that it took to establish the connection. */
    @Test
    void deadlineHeaderExcludesConnectTime() throws Exception {
        loop.submit(() -> {
                    send();
                    clockMs.add(400);
                })
                .get();
        try (Socket first = endpointListener.accept()) {
            assertEquals("4600", readDeadlineHeader(first));
            sendResponse(first, "one");
            assertServed("one");
            clockMs.add(100);
            loop.submit(this::send).get();
            assertEquals("4500", readDeadlineHeader(first));
            sendResponse(first, "two");
            assertServed("two");
        }
    }

    private static String readDeadlineHeader(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "the connection ended before a request arrived");
            head.append((char) next);
        }
        return head.toString()
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("x-deadline-ms:"))
                .map(line -> line.substring(line.indexOf(':') + 1).trim())
                .findFirst()
                .orElseThrow();
    }

    /** Guards against writing a request whose client disconnected just before the connection was established. */
    @Test
    void requestIsNotWrittenIfClientDisconnectsDuringConnect() throws Exception {
        loop.submit(() -> {
                    send();
                    clientConnected = false;
                })
                .get();
        try (Socket first = endpointListener.accept()) {
            assertEquals(-1, first.getInputStream().read(), "nothing was sent on the connection");
        }
    }

    /** An incomplete request is not executed, and never will be if it is withdrawn before its last byte is written. */
    @Test
    void partlyWrittenAttemptCanBeWithdrawn() throws Exception {
        Transport.Attempt partlyWritten = loop.submit(() -> sendAttempt(LARGE_BODY_BYTES, Double.POSITIVE_INFINITY))
                .get();
        try (Socket first = endpointListener.accept()) {
            while (first.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            assertTrue(loop.submit(partlyWritten::withdraw).get());
            assertTrue(first.getInputStream().readAllBytes().length < LARGE_BODY_BYTES);
        }
        Transport.Attempt fullyWritten =
                loop.submit(() -> sendAttempt(0, Double.POSITIVE_INFINITY)).get();
        try (Socket second = endpointListener.accept()) {
            readRequest(second);
            assertFalse(loop.submit(fullyWritten::withdraw).get(), "a complete request may have been executed");
            sendResponse(second, "two");
            assertServed("two");
        }
    }

    /** An attempt that is given up while its connection is being established leaves no connection open. */
    @Test
    void connectionOfGivenUpAttemptIsClosed() throws Exception {
        loop.submit(() -> sendAttempt(0, Double.POSITIVE_INFINITY).giveUp()).get();
        loop.submit(this::send).get();
        // The connection of the attempt that was given up may be accepted first, but nothing is sent on it.
        for (int i = 0; i < 2; i++) {
            try (Socket socket = endpointListener.accept()) {
                if (socket.getInputStream().read() >= 0) {
                    readRequest(socket);
                    sendResponse(socket, "two");
                    break;
                }
            }
        }
        assertServed("two");
        assertTrue(ends.isEmpty(), "the attempt that was given up is not notified");
    }
}
