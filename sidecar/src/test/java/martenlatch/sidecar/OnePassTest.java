package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Two things that the sidecar hears of in one turn of its loop, which is held up while both happen. */
@Timeout(60)
class OnePassTest {

    private static final int DEADLINE_MS = 8000;
    /** What a sidecar takes in at least, however few descriptors it may hold. */
    private static final int LEAST_CONNECTIONS = 8;

    private static final int SHORT_MS = 3000;

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    /** A rig before one place, whose connections the test takes itself. */
    private ServerSocket before(ServerSocket place, boolean cancel) throws IOException {
        rig = new Rig(Fake.place());
        rig.known = List.of(Rig.line(0, "127.0.0.1:" + place.getLocalPort(), "in_service", 0));
        rig.cancel = cancel;
        rig.dialMs = 30_000;
        rig.start();
        return place;
    }

    private void awaitOpen(int requests) throws InterruptedException {
        long began = System.nanoTime();
        Rig.await(requests + " requests are open", () -> rig.tableSizes().get(0) == requests);
        assertTrue((System.nanoTime() - began) / 1e6 < DEADLINE_MS / 2.0, "and not when they have timed out");
    }

    /** Guards against a repeat for a client that left in the moment in which its first attempt failed. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void aRepeatIsNotSentForAClientWhoseEndComesWithItsCause(boolean causeFirst, boolean cancel) throws Exception {
        try (ServerSocket place = before(LateEndpoint.queue(), cancel)) {
            Wire client = rig.client().send(rig.request("read", DEADLINE_MS));
            Wire first = new Wire(place.accept());
            first.read();
            try (LateEndpoint late = new LateEndpoint(place)) {
                if (causeFirst) {
                    rig.whileHeld(first::reset, client::close);
                } else {
                    rig.whileHeld(client::close, first::reset);
                }
                awaitOpen(0);
                late.open();
                assertEquals("late", rig.ask("order", DEADLINE_MS).body());
                assertEquals(
                        List.of("r1"),
                        late.requests.stream()
                                .map(request -> request.headers().get("x-request-id"))
                                .toList());
            }
        }
    }

    /** An answer that is there when its time is over, but was not read yet, has come in time. */
    @Test
    void anAnswerAndItsTimeOutAreOneAnswer() throws Exception {
        try (ServerSocket place = before(LateEndpoint.queue(), true);
                Wire client = rig.client()) {
            client.send(rig.request("order", SHORT_MS));
            Wire endpoint = new Wire(place.accept());
            endpoint.read();
            long until = System.nanoTime() + SHORT_MS * 1_000_000L;
            rig.whileHeld(() -> Fake.answer(endpoint, 200, "", "first"), () -> {
                while (System.nanoTime() < until) {
                    Thread.onSpinWait();
                }
            });
            assertEquals("first", client.read().body());
            awaitOpen(0);
            Rig.settle();
            // Nothing of the time-out is left, neither on this connection nor on the endpoint's.
            client.send(rig.request("order", DEADLINE_MS));
            endpoint.read();
            Fake.answer(endpoint, 200, "", "second");
            assertEquals("second", client.read().body());
        }
    }

    /** A whole answer is one, whatever becomes of its connection; half of one is none. */
    @ParameterizedTest
    @ValueSource(strings = {"whole", "half"})
    void anAnswerAndTheResetBehindIt(String what) throws Exception {
        try (ServerSocket place = before(LateEndpoint.queue(), true);
                Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            Wire endpoint = new Wire(place.accept());
            endpoint.read();
            rig.whileHeld(
                    () -> endpoint.send(
                            "HTTP/1.1 200 x\r\nContent-Length: 5\r\n\r\n" + (what.equals("whole") ? "first" : "fir")),
                    endpoint::reset);
            Wire.Message answer = client.read();
            assertEquals(what.equals("whole") ? 200 : 502, answer.status());
            client.send(rig.request("order", DEADLINE_MS));
            try (Wire next = new Wire(place.accept())) {
                next.read();
                Fake.answer(next, 200, "", "second");
                assertEquals("second", client.read().body());
            }
        }
    }

    /** An answer that nobody waits for any more is nobody's, and its connection may go on. */
    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void anAnswerAndTheEndOfItsClient(boolean answerFirst, boolean cancel) throws Exception {
        try (ServerSocket place = before(LateEndpoint.queue(), cancel)) {
            Wire client = rig.client().send(rig.request("order", DEADLINE_MS));
            Wire endpoint = new Wire(place.accept());
            endpoint.read();
            Rig.Deed answers = () -> Fake.answer(endpoint, 200, "", "first");
            if (answerFirst) {
                rig.whileHeld(answers, client::close);
            } else {
                rig.whileHeld(client::close, answers);
            }
            awaitOpen(0);
            Rig.settle();
            Thread serves = new Thread(() -> serveNext(place, endpoint));
            serves.start();
            assertEquals("second", rig.ask("order", DEADLINE_MS).body());
            serves.join();
        }
    }

    /** Guards against room made for a newcomer by cutting off a request that is there and not read yet. */
    @Test
    void aRequestAndANewcomerWhoNeedsItsRoom() throws Exception {
        rig = new Rig(Fake.answering(200, "", "served"));
        // So few that the least number of connections holds.
        rig.sockets = 1;
        rig.start();
        List<Wire> clients = new ArrayList<>();
        for (int i = 0; i < LEAST_CONNECTIONS; i++) {
            clients.add(rig.client());
            assertEquals(
                    200,
                    clients.get(i)
                            .send(rig.request("order", DEADLINE_MS))
                            .read()
                            .status());
        }
        // The system tells of them in this order, and the first client has been idle the longest.
        rig.whileHeld(() -> clients.add(rig.client()), () -> clients.get(0).send(rig.request("order", DEADLINE_MS)));
        assertEquals(200, clients.get(0).read().status());
        clients.get(1).awaitEnd();
        assertEquals(
                200,
                clients.get(LEAST_CONNECTIONS)
                        .send(rig.request("order", DEADLINE_MS))
                        .read()
                        .status());
        for (Wire client : clients) {
            client.close();
        }
    }

    /** On the connection that there is, or on another where that was closed. */
    private static void serveNext(ServerSocket place, Wire endpoint) {
        try {
            Wire next = endpoint;
            try {
                next.read();
            } catch (IOException e) {
                next = new Wire(place.accept());
                next.read();
            }
            Fake.answer(next, 200, "", "second");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
