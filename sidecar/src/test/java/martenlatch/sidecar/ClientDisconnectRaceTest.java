package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A client disconnects in the same turn of the event loop in which an attempt for it would begin. */
@Timeout(60)
class ClientDisconnectRaceTest {

    private static final int DEADLINE_MS = 8000;

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private long attemptsOf(String requestId) {
        return rig.endpoints.stream()
                .flatMap(endpoint -> endpoint.requests.stream())
                .filter(request -> requestId.equals(request.headers().get("x-request-id")))
                .count();
    }

    private void assertNothingIsPending() throws InterruptedException {
        Rig.await("no request is pending", () -> rig.tableSizes().get(0) == 0);
    }

    /** Guards against a request that is read late, with the end of its connection behind it, and forwarded. */
    @ParameterizedTest
    @CsvSource({"true, false", "true, true", "false, false", "false, true"})
    void aRequestWhoseClientHasLeftIsNotForwarded(boolean accepted, boolean reset) throws Exception {
        rig = new Rig(Fake.answering(200, "", "served")).start();
        // The endpoint has an idle connection now: an attempt would be written at once.
        assertEquals("served", rig.ask("order", DEADLINE_MS).body());
        Rig.settle();
        Wire[] client = new Wire[1];
        Rig.Deed connect = () -> client[0] = rig.client();
        if (accepted) {
            connect.run();
        }
        rig.whileHeld(
                () -> {
                    if (!accepted) {
                        connect.run();
                    }
                    client[0].send(rig.request("order", DEADLINE_MS));
                },
                () -> {
                    if (reset) {
                        client[0].reset();
                    } else {
                        client[0].close();
                    }
                });
        assertEquals("served", rig.ask("order", DEADLINE_MS).body());
        assertNothingIsPending();
        assertEquals(0, attemptsOf("r1"));
        assertEquals(1, attemptsOf("r2"));
    }

    /**
     * Guards against a retry that is written at once, on an idle connection, although the end of its client has
     * come with the end of the attempt before.
     */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void aRetryOnAnIdleConnectionIsNotSent(boolean resetFirst, boolean cancellation) throws Exception {
        CountDownLatch both = new CountDownLatch(2);
        LinkedBlockingQueue<Wire> held = new LinkedBlockingQueue<>();
        Fake.Script script = (wire, request) -> {
            if (request.headers().get("x-request-id").equals("r2")) {
                held.add(wire);
                wire.awaitEnd();
                return;
            }
            both.countDown();
            both.await();
            Fake.answer(wire, 200, "", "served");
        };
        rig = new Rig(new Fake(script), new Fake(script));
        rig.cancel = cancellation;
        rig.start();
        try (Wire one = rig.client();
                Wire other = rig.client()) {
            one.send(rig.request("read", DEADLINE_MS));
            other.send(rig.request("read", DEADLINE_MS));
            assertEquals("served", one.read().body());
            assertEquals("served", other.read().body());
        }
        // Both endpoints have an idle connection now.
        Rig.settle();
        Wire client = rig.client().send(rig.request("read", DEADLINE_MS));
        Wire attempt = held.poll(Rig.PATIENCE_MS, TimeUnit.MILLISECONDS);
        if (resetFirst) {
            rig.whileHeld(attempt::reset, client::close);
        } else {
            rig.whileHeld(client::close, attempt::reset);
        }
        assertNothingIsPending();
        assertEquals("served", rig.ask("read", DEADLINE_MS).body());
        assertEquals(1, attemptsOf("r2"));
        assertEquals(List.of(), List.copyOf(held));
    }
}
