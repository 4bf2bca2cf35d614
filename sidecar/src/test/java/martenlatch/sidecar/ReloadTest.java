package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** New configurations under load: the watch moves, and nothing else is disturbed. */
@Timeout(60)
class ReloadTest {

    private static final int DEADLINE_MS = 8000;

    private final Fake before = Fake.answering(200, "", "before");
    private final Fake after = Fake.answering(200, "", "after");
    private Rig rig = new Rig(before);

    ReloadTest() throws IOException {
        // Both fakes stand before each test.
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
        after.close();
    }

    private Fake discoveryWith(int version, Fake endpoint) throws IOException {
        return new Fake((wire, request) -> {
            if (request.line().contains("index=")) {
                wire.awaitEnd();
            } else {
                Fake.answer(wire, 200, "", Rig.list(version, true,
                    Rig.line(9, endpoint.address(), "in_service", 0)));
            }
        });
    }

    private void reloadFor(String discovery) throws IOException {
        Files.writeString(rig.configFile, rig.config().replace(rig.discovery.address(), discovery));
        rig.sidecar.reload();
    }

    /** Guards against trust in the old place's version: the new one may count from anywhere. */
    @Test
    void theWholeListIsAskedForAtTheNewAddressAtOnce() throws Exception {
        rig.askWithinMs = 20;
        rig.start();
        Rig.await("a watch is on", () -> rig.discovery.requests.size() == 1);
        try (Fake next = discoveryWith(1, after); Fake last = discoveryWith(1, before)) {
            reloadFor(next.address());
            Rig.await("the watch goes on there", () -> next.requests.size() == 2);
            assertEquals("GET /registry/instances HTTP/1.1", next.requests.get(0).line());
            assertEquals("GET /registry/instances?index=1&wait=20000 HTTP/1.1", next.requests.get(1).line());
            Rig.await("the old watch is dropped", () -> rig.discovery.open.get() == 0);
            assertEquals("after", rig.ask("order", DEADLINE_MS).body());
            reloadFor(last.address());
            Rig.await("and again", () -> last.requests.size() == 2);
            assertEquals("before", rig.ask("order", DEADLINE_MS).body());
        }
        assertFalse(rig.logged().contains("discovery failed"), rig.logged());
    }

    @Test
    void aRequestInHandIsNotTouched() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        before.script = (wire, request) -> {
            release.await();
            Fake.answer(wire, 200, "", "before");
        };
        rig.start();
        try (Fake next = discoveryWith(5, after); Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            Rig.await("it is in hand", () -> before.requests.size() == 1);
            reloadFor(next.address());
            Rig.await("the new list is there", () -> next.requests.size() == 2);
            release.countDown();
            assertEquals("before", client.read().body());
        }
    }

    @Test
    void aFileThatCannotBeUsedChangesNothing() throws Exception {
        rig.askWithinMs = 20;
        rig.start();
        Rig.await("a watch is on", () -> rig.discovery.requests.size() == 1);
        reloadFor("nowhere");
        Rig.await("it is told", () -> rig.logged().contains("field discovery is not usable: nowhere"));
        Files.writeString(rig.configFile, "{");
        rig.sidecar.reload();
        Rig.await("it is told", () -> rig.logged().contains("is not JSON"));
        assertEquals("before", rig.ask("order", DEADLINE_MS).body());
        assertEquals(1, rig.discovery.open.get(), "the old watch goes on");
        assertTrue(rig.logged().contains("the configuration stays as it was"), rig.logged());
    }
}
