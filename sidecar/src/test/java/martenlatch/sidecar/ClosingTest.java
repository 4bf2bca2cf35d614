package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests input that arrives at the moment when a connection or listener is closed. The event loop handles I/O before due
 * tasks, so the race is forced by blocking the loop twice: until the close is due, and again in a task that runs after
 * the I/O and before the close.
 */
@Timeout(60)
class ClosingTest {

    private static final int DEADLINE_MS = 8000;
    /** The time from the start of a drain until the listener closes. */
    private static final int LISTENER_CLOSE_MS = 600;

    /** The time from the start of a drain until connections without a request in flight are closed. */
    private static final int IDLE_CLIENTS_CLOSE_MS = 2700;
    /** The time after which an idle connection is closed. */
    private static final int IDLE_TIMEOUT_MS = 5000;
    /** How long the event loop is blocked: longer than the slack for a late shutdown. */
    private static final int LOOP_BLOCKED_MS = 1500;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private SidecarFixture createFixture(FakeEndpoint endpoint) throws IOException {
        fixture = new SidecarFixture(endpoint);
        return fixture;
    }

    private static FakeEndpoint servingEndpoint() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    /** Runs an action when the event loop has handled I/O and is about to run the tasks due after {@code dueMs}. */
    private void runBeforeDueTasks(double dueMs, SidecarFixture.Action action) throws Exception {
        EventLoop loop = fixture.sidecar.loop();
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch blockedAgain = new CountDownLatch(1);
        CountDownLatch actionDone = new CountDownLatch(1);
        long untilNanos = System.nanoTime() + (long) (dueMs * 1e6);
        loop.execute(() -> {
            loop.schedule(
                    () -> {
                        blockedAgain.countDown();
                        SidecarFixture.await(actionDone);
                    },
                    1,
                    TimeUnit.MILLISECONDS);
            blocked.countDown();
            while (System.nanoTime() < untilNanos) {
                Thread.onSpinWait();
            }
        });
        SidecarFixture.await(blocked);
        SidecarFixture.await(blockedAgain);
        try {
            action.run();
        } finally {
            actionDone.countDown();
        }
    }

    /** Starts a drain and waits until health checks report it. */
    private Thread startDrain() throws Exception {
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        SidecarFixture.await("the sidecar is draining", () -> {
            try (RawHttpClient healthClient = fixture.client()) {
                return healthClient
                                .send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                .read()
                                .status()
                        == 503;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return drain;
    }

    /** Guards against a process that exits with an unserved connection in its accept queue. */
    @Test
    void connectionInAcceptQueueIsServedWhenListenerCloses() throws Exception {
        createFixture(servingEndpoint()).start();
        Thread drain = startDrain();
        RawHttpClient[] lastClient = new RawHttpClient[1];
        runBeforeDueTasks(
                LISTENER_CLOSE_MS + 50,
                () -> lastClient[0] = fixture.client().send(fixture.request("order", DEADLINE_MS)));
        assertEquals(200, lastClient[0].read().status());
        lastClient[0].close();
        drain.join();
        assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
    }

    /** Guards against resetting a client whose request is unread when a drain closes idle connections. */
    @Test
    void unreadRequestIsServedWhenIdleClientsAreClosed() throws Exception {
        createFixture(servingEndpoint()).start();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(
                    200,
                    client.send(fixture.request("order", DEADLINE_MS)).read().status());
            Thread drain = startDrain();
            runBeforeDueTasks(IDLE_CLIENTS_CLOSE_MS + 50, () -> client.send(fixture.request("order", DEADLINE_MS)));
            RawHttpClient.Message response = client.read();
            assertEquals(200, response.status());
            assertEquals("close", response.headers().get("connection"));
            client.close();
            drain.join();
        }
    }

    /** Guards against resetting a client whose request is unread when the idle timeout of its connection expires. */
    @Test
    void unreadRequestIsServedAtIdleTimeout() throws Exception {
        createFixture(servingEndpoint()).start();
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 2; i++) {
                assertEquals(
                        200,
                        client.send(fixture.request("order", DEADLINE_MS))
                                .read()
                                .status());
            }
            runBeforeDueTasks(IDLE_TIMEOUT_MS + 50, () -> client.send(fixture.request("order", DEADLINE_MS)));
            assertEquals(200, client.read().status());
        }
    }

    /** Guards against closing, or never closing, a connection with a partial request unread at its idle timeout. */
    @Test
    void partialRequestAtIdleTimeoutGetsTheHeadTimeout() throws Exception {
        createFixture(servingEndpoint()).start();
        try (RawHttpClient client = fixture.client();
                RawHttpClient silent = fixture.client()) {
            String request = fixture.request("order", DEADLINE_MS);
            runBeforeDueTasks(IDLE_TIMEOUT_MS + 50, () -> {
                client.send(request.substring(0, 30));
                silent.send("POST /api");
            });
            fixture.sidecar.loop().submit(() -> {}).get();
            assertEquals(200, client.send(request.substring(30)).read().status());
            assertEquals(408, silent.read().status(), "a client that never completes its request gets a timeout");
        }
    }

    /**
     * Guards against a connection that goes on after a streamed response which began before idle connections were
     * closed: a request on it would have next to no time.
     */
    @Test
    void connectionEndsAfterResponseThatWasBeingStreamedWhenIdleClientsWereClosed() throws Exception {
        CountDownLatch idleClosed = new CountDownLatch(1);
        byte[] body = LongBodies.bytes(1, 100_000);
        createFixture(new FakeEndpoint((connection, request) -> {
                    LongBodies.write(
                            connection, LongBodies.OK + "Content-Length: 100000\r\n", Arrays.copyOf(body, 70_000));
                    idleClosed.await();
                    connection.socket.getOutputStream().write(body, 70_000, 30_000);
                }))
                .start();
        RawHttpClient idle = fixture.client();
        RawHttpClient client = fixture.client();
        client.send(fixture.request("order", 8000));
        RawHttpClient.Message head = client.readHead();
        assertEquals(null, head.headers().get("connection"));
        idle.send("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n").read();
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        idle.awaitClose();
        idleClosed.countDown();
        assertArrayEquals(body, client.readBody(head));
        long endedNanos = System.nanoTime();
        client.awaitClose();
        assertTrue(SidecarFixture.elapsedMs(endedNanos) < 300, "the connection stays open");
        drain.join();
    }

    /** Guards against a drain that ends late by as long as the event loop was blocked when the drain began. */
    @Test
    void drainEndsInTimeIfEventLoopIsBlocked() throws Exception {
        createFixture(new FakeEndpoint((connection, request) -> connection.awaitClose()))
                .start();
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is at the endpoint", () -> fixture.attempts() == 1);
            Thread drain = new Thread(fixture.sidecar::drain);
            fixture.whileEventLoopBlocked(
                    drain::start,
                    () -> SidecarFixture.await(
                            "the drain has been logged", () -> fixture.logged().contains("draining")),
                    () -> {
                        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOOP_BLOCKED_MS);
                        while (System.nanoTime() < untilNanos) {
                            Thread.onSpinWait();
                        }
                    });
            assertEquals(502, client.read().status(), "the response is sent before the process exits");
            client.close();
            drain.join();
            assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
        }
    }

    /**
     * Guards against a process that is killed before its last response, because the time for its drain was computed
     * from longer deadlines of earlier settings.
     */
    @Test
    void drainUsesTheDeadlinesOfTheCurrentSettings() throws Exception {
        createFixture(new FakeEndpoint((connection, request) -> connection.awaitClose()))
                .start();
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is at the endpoint", () -> fixture.attempts() == 1);
            Files.writeString(
                    fixture.configFile,
                    fixture.config()
                            .replace("\"hard-limit-ms\":9000", "\"hard-limit-ms\":500")
                            .replace("\"slo-ms\":9000", "\"slo-ms\":400"));
            fixture.sidecar.reload();
            SidecarFixture.await(
                    "the settings are applied", () -> fixture.logged().contains("settings changed"));
            long startNanos = System.nanoTime();
            Thread drain = startDrain();
            assertEquals(502, client.read().status());
            // With the old settings the request would have had 3.4 s.
            assertTrue(
                    (System.nanoTime() - startNanos) / 1e6 < 3000,
                    "the response is sent before the process may be killed");
            client.close();
            drain.join();
        }
    }
}
