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

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private Rig before(Fake endpoint) throws IOException {
        rig = new Rig(endpoint);
        return rig;
    }

    private static Fake good() throws IOException {
        return Fake.answering(200, "", "served");
    }

    /** Does something when the loop has read what there was, and is about to do what is due by then. */
    private void justBefore(double dueMs, Rig.Deed deed) throws Exception {
        EventLoop loop = rig.sidecar.loop();
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch again = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        long until = System.nanoTime() + (long) (dueMs * 1e6);
        loop.execute(() -> {
            loop.schedule(
                    () -> {
                        again.countDown();
                        Rig.await(done);
                    },
                    1,
                    TimeUnit.MILLISECONDS);
            held.countDown();
            while (System.nanoTime() < until) {
                Thread.onSpinWait();
            }
        });
        Rig.await(held);
        Rig.await(again);
        try {
            deed.run();
        } finally {
            done.countDown();
        }
    }

    private Thread drain() throws Exception {
        Thread drain = new Thread(rig.sidecar::drain);
        drain.start();
        Rig.await("it drains", () -> {
            try (Wire wire = rig.client()) {
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
        Wire[] last = new Wire[1];
        justBefore(LINGER_MS + 50, () -> last[0] = rig.client().send(rig.request("order", DEADLINE_MS)));
        assertEquals(200, last[0].read().status());
        last[0].close();
        drain.join();
        assertTrue(rig.logged().contains("martenlatch: drained"), rig.logged());
    }

    /** Guards against a last call that resets a client whose request is there and has not been read. */
    @Test
    void aRequestThatIsThereAtTheLastCallIsAnswered() throws Exception {
        before(good()).start();
        try (Wire client = rig.client()) {
            assertEquals(
                    200, client.send(rig.request("order", DEADLINE_MS)).read().status());
            Thread drain = drain();
            justBefore(LAST_CALL_MS + 50, () -> client.send(rig.request("order", DEADLINE_MS)));
            Wire.Message answer = client.read();
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
        try (Wire client = rig.client()) {
            for (int i = 0; i < 2; i++) {
                assertEquals(
                        200,
                        client.send(rig.request("order", DEADLINE_MS)).read().status());
            }
            justBefore(IDLE_MS + 50, () -> client.send(rig.request("order", DEADLINE_MS)));
            assertEquals(200, client.read().status());
        }
    }

    /** And half of one is given its time, and no more. */
    @Test
    void halfARequestThatIsThereWhenItsConnectionHasStoodIdleIsWaitedFor() throws Exception {
        before(good()).start();
        try (Wire client = rig.client();
                Wire silent = rig.client()) {
            String request = rig.request("order", DEADLINE_MS);
            justBefore(IDLE_MS + 50, () -> {
                client.send(request.substring(0, 30));
                silent.send("POST /api");
            });
            rig.sidecar.loop().submit(() -> {}).get();
            assertEquals(200, client.send(request.substring(30)).read().status());
            assertEquals(408, silent.read().status(), "who goes on saying nothing is told");
        }
    }

    /** Guards against an end that is put off by as long as the loop was held up when it was told. */
    @Test
    void aLoopThatIsHeldUpAsItIsToldToEndEndsInTime() throws Exception {
        before(new Fake((wire, request) -> wire.awaitEnd())).start();
        try (Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            Rig.await("it is in hand", () -> rig.attempts() == 1);
            Thread drain = new Thread(rig.sidecar::drain);
            rig.whileHeld(
                    drain::start,
                    () -> Rig.await("it has been told", () -> rig.logged().contains("draining")),
                    () -> {
                        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(HELD_UP_MS);
                        while (System.nanoTime() < until) {
                            Thread.onSpinWait();
                        }
                    });
            assertEquals(502, client.read().status(), "answered before it ends");
            client.close();
            drain.join();
            assertTrue(rig.logged().contains("martenlatch: drained"), rig.logged());
        }
    }

    /**
     * Guards against a process that is killed before its last answer because requests had more time by
     * settings that hold no more.
     */
    @Test
    void theEndGoesByTheDeadlinesThatHoldNow() throws Exception {
        before(new Fake((wire, request) -> wire.awaitEnd())).start();
        try (Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            Rig.await("it is in hand", () -> rig.attempts() == 1);
            Files.writeString(
                    rig.configFile,
                    rig.config()
                            .replace("\"hard-limit-ms\":9000", "\"hard-limit-ms\":500")
                            .replace("\"slo-ms\":9000", "\"slo-ms\":400"));
            rig.sidecar.reload();
            Rig.await("the settings hold", () -> rig.logged().contains("with new settings"));
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
