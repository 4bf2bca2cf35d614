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

/** Real connections to an endpoint that the test plays, on a clock that it moves: when one is used again. */
@Timeout(60)
class IdleConnectionsTest {

    private static final double IDLE_CLOSE_MS = 1000;
    private static final long PATIENCE_S = 20;
    /** More than the system takes at once from who writes to somebody who does not read. */
    private static final int LARGE = 8 * 1024 * 1024;

    /** What the pool asks about an attempt before it writes it. */
    private final class FixedConditions implements Transport.WriteConditions {
        @Override
        public double remainingMs() {
            return waitUntil - clock.sum();
        }

        @Override
        public boolean isClientConnected() {
            return clientConnected;
        }
    }

    private record End(AttemptOutcome outcome, EndpointResponse answer) {}

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private static final double START_MS = 1_000_000;

    /** The time, which the tests advance from their own thread. */
    private final DoubleAdder clock = new DoubleAdder();

    private volatile double waitUntil = START_MS + 5000;
    private volatile boolean clientConnected = true;
    private final Transport.WriteConditions conditions = new FixedConditions();
    private final ServerSocket endpoint;
    private final LinkedBlockingQueue<End> ends = new LinkedBlockingQueue<>();
    private EndpointPool pool;

    IdleConnectionsTest() throws Exception {
        clock.add(START_MS);
        endpoint = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        endpoint.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
        // Timers never fire: what a loop that is held up would have done is not done.
        Scheduler time = new Scheduler() {
            @Override
            public double now() {
                return clock.sum();
            }

            @Override
            public Timer after(double ms, Runnable task) {
                return () -> {};
            }
        };
        loop.submit(() -> {
                    pool = new EndpointPool(
                            loop,
                            time,
                            new RateLimitedLogger(time, new PrintStream(OutputStream.nullOutputStream())),
                            5000,
                            IDLE_CLOSE_MS,
                            100);
                    Endpoint server = new Endpoint("s0", 0, 0, 0, 0, EndpointStatus.READY, 1);
                    pool.update(new EndpointList(
                            1,
                            true,
                            List.of(new EndpointList.Entry(
                                    server,
                                    new InetSocketAddress(endpoint.getInetAddress(), endpoint.getLocalPort())))));
                })
                .get();
    }

    @AfterEach
    void close() throws Exception {
        endpoint.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void send() {
        attempt(0, Double.POSITIVE_INFINITY);
    }

    private Transport.Attempt attempt(int bodySize, double notAfter) {
        return pool.transportFor(new OutgoingRequest(
                        bodySize == 0 ? HttpMethod.GET : HttpMethod.POST,
                        "/api",
                        new DefaultHttpHeaders(),
                        new byte[bodySize],
                        null))
                .send("s0", conditions, notAfter, (outcome, answer) -> ends.add(new End(outcome, answer)));
    }

    private static void read(Socket socket) throws IOException {
        int newlines = 0;
        while (newlines < 2) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "a request was to come");
            newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
        }
    }

    private static void answer(Socket socket, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private void assertServed(String body) throws InterruptedException {
        End end = ends.poll(PATIENCE_S, TimeUnit.SECONDS);
        assertEquals(AttemptOutcome.OK, end.outcome());
        assertEquals(body, new String(end.answer().body(), StandardCharsets.US_ASCII));
    }

    /** One request is served, and its connection stands idle. */
    private Socket idle() throws Exception {
        loop.submit(this::send).get();
        Socket first = endpoint.accept();
        first.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
        read(first);
        answer(first, "one");
        assertServed("one");
        return first;
    }

    @Test
    void aConnectionIsUsedAgain() throws Exception {
        try (Socket first = idle()) {
            clock.add(11);
            loop.submit(this::send).get();
            read(first);
            answer(first, "two");
            assertServed("two");
        }
    }

    /** Guards against a second answer, 9 ms after the first, that the next request is served with. */
    @Test
    void aSecondAnswerSomeMillisecondsLaterIsNobodys() throws Exception {
        try (Socket first = idle()) {
            clock.add(9);
            loop.submit(this::send).get();
            answer(first, "one again");
            try (Socket second = endpoint.accept()) {
                read(second);
                answer(second, "two");
                assertServed("two");
                assertEquals(-1, first.getInputStream().read(), "and its connection is closed");
            }
        }
    }

    /** Guards against the same just before the next request, where the loop has not read it yet. */
    @Test
    void bytesThatCameJustBeforeTheNextRequestAreSeen() throws Exception {
        try (Socket first = idle()) {
            clock.add(500);
            loop.submit(() -> {
                        answer(first, "one again");
                        send();
                        return null;
                    })
                    .get();
            try (Socket second = endpoint.accept()) {
                read(second);
                answer(second, "two");
                assertServed("two");
            }
        }
    }

    /** Guards against a request on a connection that the endpoint closes between the choice and the write. */
    @Test
    void anEndThatTheLoopHasNotReadYetIsSeen() throws Exception {
        Socket first = idle();
        clock.add(500);
        loop.submit(() -> {
                    first.close();
                    send();
                    return null;
                })
                .get();
        try (Socket second = endpoint.accept()) {
            read(second);
            answer(second, "two");
            assertServed("two");
        }
    }

    /** Guards against a loop that was held up past the time from which the endpoint may close. */
    @Test
    void aLoopThatWasHeldUpDoesNotUseWhatMayBeClosed() throws Exception {
        try (Socket first = idle()) {
            clock.add(IDLE_CLOSE_MS - 300);
            loop.submit(this::send).get();
            try (Socket second = endpoint.accept()) {
                read(second);
                answer(second, "two");
                assertServed("two");
                assertEquals(-1, first.getInputStream().read(), "it was closed with nothing on it");
            }
        }
    }

    /** What the kernel took whole may have run, whatever the peer did; what it did not take has not. */
    @Test
    void onlyWhatWasNotWrittenWholeIsKnownNotToHaveRun() throws Exception {
        loop.submit(this::send).get();
        try (Socket first = endpoint.accept()) {
            // Nothing of it is read: the reset comes from unread bytes.
            while (first.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            first.setSoLinger(true, 0);
        }
        assertEquals(
                AttemptOutcome.RESET, ends.poll(PATIENCE_S, TimeUnit.SECONDS).outcome());
        loop.submit(() -> attempt(LARGE, Double.POSITIVE_INFINITY)).get();
        try (Socket second = endpoint.accept()) {
            while (second.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            second.setSoLinger(true, 0);
        }
        assertEquals(
                AttemptOutcome.CONNECT_ERROR,
                ends.poll(PATIENCE_S, TimeUnit.SECONDS).outcome());
    }

    /**
     * Guards against a connection that comes up after the time until which its attempt might be sent, where
     * the loop hears of that before its timer.
     */
    @Test
    void whatHadItsTimeWhileItsConnectionCameUpIsNotSent() throws Exception {
        loop.submit(() -> {
                    attempt(0, clock.sum() + 100);
                    clock.add(101);
                })
                .get();
        assertEquals(
                AttemptOutcome.NOT_EXECUTED,
                ends.poll(PATIENCE_S, TimeUnit.SECONDS).outcome());
        try (Socket first = endpoint.accept()) {
            assertEquals(-1, first.getInputStream().read(), "nothing was sent on it");
        }
        loop.submit(() -> {
                    attempt(0, clock.sum() + 100);
                    clock.add(100);
                })
                .get();
        try (Socket second = endpoint.accept()) {
            read(second);
            answer(second, "in time");
            assertServed("in time");
        }
        assertTrue(ends.isEmpty(), "each has one end");
    }

    /** Guards against a time told to the endpoint that was right only before its connection was established. */
    @Test
    void theDeadlineToldIsWhatIsLeftOnceTheConnectionIsEstablished() throws Exception {
        loop.submit(() -> {
                    send();
                    clock.add(400);
                })
                .get();
        try (Socket first = endpoint.accept()) {
            assertEquals("4600", deadlineTold(first));
            answer(first, "one");
            assertServed("one");
            clock.add(100);
            loop.submit(this::send).get();
            assertEquals("4500", deadlineTold(first));
            answer(first, "two");
            assertServed("two");
        }
    }

    private static String deadlineTold(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "a request was to come");
            head.append((char) next);
        }
        return head.toString()
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("x-deadline-ms:"))
                .map(line -> line.substring(line.indexOf(':') + 1).trim())
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a request written to a connection that is established when its client has just left. */
    @Test
    void nothingIsWrittenForAClientThatLeftWhileTheConnectionWasEstablished() throws Exception {
        loop.submit(() -> {
                    send();
                    clientConnected = false;
                })
                .get();
        try (Socket first = endpoint.accept()) {
            assertEquals(-1, first.getInputStream().read(), "nothing was sent on it");
        }
    }

    /** What an endpoint has half of has not run, and never will where the rest is withdrawn in time. */
    @Test
    void whatIsHalfWrittenCanBeWithdrawn() throws Exception {
        Transport.Attempt half =
                loop.submit(() -> attempt(LARGE, Double.POSITIVE_INFINITY)).get();
        try (Socket first = endpoint.accept()) {
            while (first.getInputStream().available() == 0) {
                Thread.onSpinWait();
            }
            assertTrue(loop.submit(half::withdraw).get());
            assertTrue(first.getInputStream().readAllBytes().length < LARGE);
        }
        Transport.Attempt whole =
                loop.submit(() -> attempt(0, Double.POSITIVE_INFINITY)).get();
        try (Socket second = endpoint.accept()) {
            read(second);
            assertFalse(loop.submit(whole::withdraw).get(), "this one may have run");
            answer(second, "two");
            assertServed("two");
        }
    }

    /** An attempt that was given up while its connection came up leaves nothing behind. */
    @Test
    void aConnectionThatComesUpForNobodyIsClosed() throws Exception {
        loop.submit(() -> attempt(0, Double.POSITIVE_INFINITY).giveUp()).get();
        loop.submit(this::send).get();
        // The first that comes through asks: on the one that was given up nothing is ever sent.
        for (int i = 0; i < 2; i++) {
            try (Socket socket = endpoint.accept()) {
                if (socket.getInputStream().read() >= 0) {
                    read(socket);
                    answer(socket, "two");
                    break;
                }
            }
        }
        assertServed("two");
        assertTrue(ends.isEmpty(), "it is told nothing");
    }
}
