package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What comes in the very moment in which a connection or a listener is closed. The loop hears of the network
 * before it does what is due, so the bad order is made by holding it up twice: once until the close is due,
 * and again among what is due, when it has just looked for bytes.
 */
@Timeout(60)
class ClosingTest {

    private static final int DEADLINE_MS = 8000;
    /** When the listener closes, when the last call comes, and when idle connections are closed. */
    private static final int LINGER_MS = 600;

    private static final int LAST_CALL_MS = 2700;
    private static final int IDLE_MS = 5000;
    /** Longer than an end may be late. */
    private static final int HELD_UP_MS = 1500;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private SidecarFixture before(FakeEndpoint endpoint) throws IOException {
        fixture = new SidecarFixture(endpoint);
        return fixture;
    }

    private static FakeEndpoint good() throws IOException {
        return FakeEndpoint.answering(200, "", "served");
    }

    /** Does something when the loop has read what there was, and is about to do what is due by then. */
    private void justBefore(double dueMs, SidecarFixture.Action deed) throws Exception {
        EventLoop loop = fixture.sidecar.loop();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch again = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        long until = System.nanoTime() + (long) (dueMs * 1e6);
        loop.execute(() -> {
            loop.schedule(
                    () -> {
                        again.countDown();
                        SidecarFixture.await(done);
                    },
                    1,
                    TimeUnit.MILLISECONDS);
            held.countDown();
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
        });
        SidecarFixture.await(held);
        SidecarFixture.await(again);
        try {
            deed.run();
        } finally {
            done.countDown();
        }
    }

    private Thread drain() throws Exception {
        Thread drain = new Thread(fixture.sidecar::drain);
        drain.start();
        SidecarFixture.await("it drains", () -> {
            try (RawHttpClient wire = fixture.client()) {
                return wire.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                .read()
                                .status()
                        == 503;
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        return drain;
    }

    /** Guards against a process that ends with nobody on its connections and somebody at its door. */
    @Test
    void whoWaitsToBeAcceptedAsTheListenerClosesIsServed() throws Exception {
        before(good()).start();
        Thread drain = drain();
        RawHttpClient[] last = new RawHttpClient[1];
        justBefore(LINGER_MS + 50, () -> last[0] = fixture.client().send(fixture.request("order", DEADLINE_MS)));
        assertEquals(200, last[0].read().status());
        last[0].close();
        drain.join();
        assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
    }

    /** Guards against a last call that resets a client whose request is there and has not been read. */
    @Test
    void aRequestThatIsThereAtTheLastCallIsAnswered() throws Exception {
        before(good()).start();
        try (RawHttpClient client = fixture.client()) {
            assertEquals(
                    200,
                    client.send(fixture.request("order", DEADLINE_MS)).read().status());
            Thread drain = drain();
            justBefore(LAST_CALL_MS + 50, () -> client.send(fixture.request("order", DEADLINE_MS)));
            RawHttpClient.Message answer = client.read();
            assertEquals(200, answer.status());
            assertEquals("close", answer.headers().get("connection"));
            client.close();
            drain.join();
        }
    }

    /** Guards against the same where a connection has stood idle for as long as it may. */
    @Test
    void aRequestThatIsThereWhenItsConnectionHasStoodIdleIsAnswered() throws Exception {
        before(good()).start();
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 2; i++) {
                assertEquals(
                        200,
                        client.send(fixture.request("order", DEADLINE_MS))
                                .read()
                                .status());
            }
            justBefore(IDLE_MS + 50, () -> client.send(fixture.request("order", DEADLINE_MS)));
            assertEquals(200, client.read().status());
        }
    }

    /** And half of one is given its time, and no more. */
    @Test
    void halfARequestThatIsThereWhenItsConnectionHasStoodIdleIsWaitedFor() throws Exception {
        before(good()).start();
        try (RawHttpClient client = fixture.client();
                RawHttpClient silent = fixture.client()) {
            String request = fixture.request("order", DEADLINE_MS);
            justBefore(IDLE_MS + 50, () -> {
                client.send(request.substring(0, 30));
                silent.send("POST /api");
            });
            fixture.sidecar.loop().submit(() -> {}).get();
            assertEquals(200, client.send(request.substring(30)).read().status());
            assertEquals(408, silent.read().status(), "who goes on saying nothing is told");
        }
    }

    /** Guards against an end that is put off by as long as the loop was held up when it was told. */
    @Test
    void aLoopThatIsHeldUpAsItIsToldToEndEndsInTime() throws Exception {
        before(new FakeEndpoint((wire, request) -> wire.awaitClose())).start();
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> fixture.attempts() == 1);
            Thread drain = new Thread(fixture.sidecar::drain);
            fixture.whileEventLoopBlocked(
                    drain::start,
                    () -> SidecarFixture.await(
                            "it has been told", () -> fixture.logged().contains("draining")),
                    () -> {
                        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HELD_UP_MS);
                        while (System.nanoTime() < until) {
                            Thread.onSpinWait();
                        }
                    });
            assertEquals(502, client.read().status(), "answered before it ends");
            client.close();
            drain.join();
            assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
        }
    }

    /**
     * Guards against a process that is killed before its last answer because requests had more time by
     * settings that hold no more.
     */
    @Test
    void theEndGoesByTheDeadlinesThatHoldNow() throws Exception {
        before(new FakeEndpoint((wire, request) -> wire.awaitClose())).start();
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> fixture.attempts() == 1);
            Files.writeString(
                    fixture.configFile,
                    fixture.config()
                            .replace("\"hard-limit-ms\":9000", "\"hard-limit-ms\":500")
                            .replace("\"slo-ms\":9000", "\"slo-ms\":400"));
            fixture.sidecar.reload();
            SidecarFixture.await("the settings hold", () -> fixture.logged().contains("settings changed"));
            long began = System.nanoTime();
            Thread drain = drain();
            assertEquals(502, client.read().status());
            // By the old ones it would have had 3.4 s.
            assertTrue((System.nanoTime() - began) / 1e6 < 3000, "answered before it may be killed");
            client.close();
            drain.join();
        }
    }
}
