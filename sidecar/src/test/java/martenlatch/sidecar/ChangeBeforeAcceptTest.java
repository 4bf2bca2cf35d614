package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests requests that are read before a reload or the beginning of a shutdown and accepted after it, in the same turn
 * of the event loop.
 */
@Timeout(60)
class ChangeBeforeAcceptTest {

    private static final int DEADLINE_MS = 8000;
    /** The time from SIGTERM until SIGKILL. */
    private static final int KILL_MS = 3700;

    private static final int CLIENTS = 3;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private void startWith(FakeEndpoint.Script script) throws IOException {
        fixture = SidecarFixture.startedWith(script, script);
    }

    private void reload(UnaryOperator<String> change) throws IOException {
        Files.writeString(fixture.configFile, change.apply(fixture.config()));
        fixture.sidecar.reload();
    }

    private List<RawHttpClient> connectClients() throws IOException {
        List<RawHttpClient> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(fixture.client());
        }
        return clients;
    }

    private SidecarFixture.Action send(List<RawHttpClient> clients, String requestClass) {
        return () -> {
            for (RawHttpClient client : clients) {
                client.send(fixture.request(requestClass, DEADLINE_MS));
            }
        };
    }

    /** Guards against requests of the turn of SIGTERM that keep deadlines beyond the end of the process. */
    @Test
    void requestReadBeforeShutdownIsAnsweredBeforeTheProcessEnds() throws Exception {
        startWith((connection, request) -> connection.awaitClose());
        List<RawHttpClient> clients = connectClients();
        Thread drain = new Thread(fixture.sidecar::drain);
        long[] startedNanos = new long[1];
        fixture.betweenReadAndAccept(send(clients, "order"), () -> {
            startedNanos[0] = System.nanoTime();
            drain.start();
        });
        for (RawHttpClient client : clients) {
            assertEquals(502, client.read().status());
            assertTrue(SidecarFixture.elapsedMs(startedNanos[0]) < KILL_MS, "answered after SIGKILL");
            client.close();
        }
        drain.join();
        assertTrue(fixture.logged().contains("martenlatch: drained"), fixture.logged());
    }

    /** Guards against a request that gets the effect of another class, so that it is executed twice. */
    @Test
    void requestReadBeforeReloadKeepsItsClass() throws Exception {
        startWith((connection, request) -> connection.close());
        List<RawHttpClient> clients = connectClients();
        fixture.betweenReadAndAccept(
                send(clients, "order"), () -> reload(ChangeBeforeAcceptTest::withFirstClassesExchanged));
        for (RawHttpClient client : clients) {
            assertEquals(502, client.read().status());
        }
        assertEquals(CLIENTS, fixture.attempts(), "a request that may have run is not sent again");
    }

    private static String withFirstClassesExchanged(String config) {
        return config.replace("{\"name\":\"read\",\"effect\":\"repeatable\"", "{\"name\":\"_\"")
                .replace("{\"name\":\"order\",\"effect\":\"once\"", "{\"name\":\"read\",\"effect\":\"repeatable\"")
                .replace("{\"name\":\"_\"", "{\"name\":\"order\",\"effect\":\"once\"");
    }

    /** Guards against a request that is never answered, as its class is not in the new settings. */
    @Test
    void requestOfRemovedClassIsAnswered() throws Exception {
        startWith((connection, request) -> FakeEndpoint.answer(connection, 200, "", "served"));
        List<RawHttpClient> clients = connectClients();
        fixture.betweenReadAndAccept(
                send(clients, "move"),
                () -> reload(config -> config.replaceFirst("(?s),\\s*\\{\"name\":\"move\".*?\\}", "")));
        for (RawHttpClient client : clients) {
            assertEquals(400, client.read().status());
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
        }
    }

    /** Guards against the deadline and the effect of earlier settings under the same class name. */
    @Test
    void requestReadBeforeReloadGetsTheNewDeadlineOfItsClass() throws Exception {
        startWith((connection, request) -> connection.awaitClose());
        List<RawHttpClient> clients = connectClients();
        fixture.betweenReadAndAccept(
                send(clients, "order"),
                () -> reload(config -> config.replace("\"hard-limit-ms\":9000", "\"hard-limit-ms\":1500")));
        long startedNanos = System.nanoTime();
        for (RawHttpClient client : clients) {
            assertEquals(502, client.read().status());
        }
        assertTrue(SidecarFixture.elapsedMs(startedNanos) < DEADLINE_MS / 2.0, "answered by the earlier deadline");
    }
}
