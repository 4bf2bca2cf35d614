package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** New configurations under load: the watch moves, and nothing else is disturbed. */
@Timeout(60)
class ReloadTest {

    private static final int DEADLINE_MS = 8000;

    private final FakeEndpoint before = FakeEndpoint.answering(200, "", "before");
    private final FakeEndpoint after = FakeEndpoint.answering(200, "", "after");
    private SidecarFixture fixture = new SidecarFixture(before);

    ReloadTest() throws IOException {
        // Both fakes stand before each test.
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        after.close();
    }

    private FakeEndpoint discoveryWith(int version, FakeEndpoint endpoint) throws IOException {
        return new FakeEndpoint((wire, request) -> {
            if (request.startLine().contains("index=")) {
                wire.awaitClose();
            } else {
                FakeEndpoint.answer(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(
                                version, true, SidecarFixture.line(9, endpoint.address(), "in_service", 0)));
            }
        });
    }

    private void reloadFor(String discovery) throws IOException {
        Files.writeString(fixture.configFile, fixture.config().replace(fixture.discovery.address(), discovery));
        fixture.sidecar.reload();
    }

    /** Guards against trust in the old place's version: the new one may count from anywhere. */
    @Test
    void theWholeListIsAskedForAtTheNewAddressAtOnce() throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
        try (FakeEndpoint next = discoveryWith(1, after);
                FakeEndpoint last = discoveryWith(1, before)) {
            reloadFor(next.address());
            SidecarFixture.await("the watch goes on there", () -> next.requests.size() == 2);
            assertEquals(
                    "GET /registry/instances HTTP/1.1", next.requests.get(0).startLine());
            assertEquals(
                    "GET /registry/instances?index=1&wait=4000 HTTP/1.1",
                    next.requests.get(1).startLine());
            SidecarFixture.await("the old watch is dropped", () -> fixture.discovery.open.get() == 0);
            assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
            reloadFor(last.address());
            SidecarFixture.await("and again", () -> last.requests.size() == 2);
            assertEquals("before", fixture.sendRequest("order", DEADLINE_MS).body());
        }
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /** Guards against a fleet that is moved, asks the new place all at once, and is turned away by it. */
    @Test
    void aFleetThatIsMovedSpreadsItsFirstCalls() throws Exception {
        fixture.pollIntervalMs = 2000;
        fixture.start();
        List<Double> waits = new ArrayList<>();
        try (FakeEndpoint one = discoveryWith(1, after);
                FakeEndpoint other = discoveryWith(1, before)) {
            for (int i = 0; i < 6; i++) {
                FakeEndpoint next = i % 2 == 0 ? one : other;
                int asked = next.requests.size();
                long began = System.nanoTime();
                Files.writeString(
                        fixture.configFile,
                        fixture.config()
                                .replace(fixture.discovery.address(), next.address())
                                .replace("\"replicas-of-me\":1", "\"replicas-of-me\":40"));
                fixture.sidecar.reload();
                SidecarFixture.await("it asks there", () -> next.requests.size() > asked);
                waits.add((System.nanoTime() - began) / 1e6);
            }
        }
        assertTrue(Collections.max(waits) > 200, "all of them within 200 of up to 975 ms: " + waits);
    }

    @Test
    void aRequestInHandIsNotTouched() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        before.script = (wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", "before");
        };
        fixture.start();
        try (FakeEndpoint next = discoveryWith(5, after);
                RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> before.requests.size() == 1);
            reloadFor(next.address());
            SidecarFixture.await("the new list is there", () -> next.requests.size() == 2);
            release.countDown();
            assertEquals("before", client.read().body());
        }
    }

    /** Guards against a class that is known too late, or forgotten while its requests are in hand. */
    @Test
    void classesComeAndGo() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        before.script = (wire, request) -> {
            if (request.headers().get("x-request-id").equals("r1")) {
                release.await();
            }
            if (request.headers().get("x-request-id").equals("r2") && before.requests.size() == 2) {
                release.await();
                wire.reset();
            }
            FakeEndpoint.answer(wire, 200, "", "before");
        };
        fixture.start();
        assertEquals(400, fixture.sendRequest("print", DEADLINE_MS).status());
        try (RawHttpClient inHand = fixture.client()) {
            inHand.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("it is in hand", () -> before.requests.size() == 1);
            RawHttpClient second = fixture.client().send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await("another is in hand", () -> before.requests.size() == 2);
            Files.writeString(
                    fixture.configFile,
                    fixture.config().replace("\"order\"", "\"print\"").replace("\"try-limit\":3", "\"try-limit\":1"));
            fixture.sidecar.reload();
            SidecarFixture.await("it is told", () -> fixture.logged().contains("settings changed"));
            assertEquals(200, fixture.sendRequest("print", DEADLINE_MS).status());
            assertEquals(400, fixture.sendRequest("order", DEADLINE_MS).status());
            release.countDown();
            assertEquals("before", inHand.read().body());
            assertEquals("before", second.read().body(), "tried again, as it was to be when it came");
            second.close();
        }
        before.script = (wire, request) -> wire.reset();
        int sent = before.requests.size();
        assertEquals(503, fixture.sendRequest("read", DEADLINE_MS).status());
        assertEquals(sent + 1, before.requests.size(), "one attempt at most from now on");
    }

    /**
     * Guards against half of a file taken for the whole: nothing of it holds, the address of discovery
     * either.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"hard-limit-ms\":9000|\"hard-limit-ms\":-1|deadline must be above 0 but is -1.0",
                "\"hard-limit-ms\":9000|\"hard-limit-ms\":\"9\"|hard-limit-ms should be a number but is 9",
                "\"hard-limit-ms\":9000,||field settings.classes[].hard-limit-ms is missing",
                "\"effect\":\"once\",||field settings.classes[].effect is missing",
                "\"effect\":\"once\"|\"effect\":\"twice\"|effect is unknown: twice",
                "\"order\"|\"read\"|field settings.classes[].name is not usable: read, twice",
                "\"try-limit\":3|\"try-limit\":0|field settings.limits.try-limit is not usable: 0.0",
                "\"try-limit\":3|\"try-limit\":1e999|field settings.limits.try-limit is not usable: Infinity",
                "\"cancel\":true,||field settings.limits.cancel is missing",
                "\"cold-ms\":1000,||field settings.rules.cold-ms is missing",
                "\"azs\":[\"a\"]|\"azs\":[\"b\"]|settings.azs and settings.models cannot change",
                "\"name\":\"n0\",||field name is missing"
            })
    void aPartOfAFileChangesNothing(String part, String spoilt, String told) throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
        String good = fixture.config().replace(fixture.discovery.address(), after.address());
        int last = good.lastIndexOf(part);
        Files.writeString(
                fixture.configFile,
                good.substring(0, last) + (spoilt == null ? "" : spoilt) + good.substring(last + part.length()));
        fixture.sidecar.reload();
        SidecarFixture.await("it is told", () -> fixture.logged().contains(told));
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, fixture.discovery.open.get(), "the old watch goes on");
        assertEquals(0, after.connections.get());
    }

    @Test
    void aFileThatCannotBeUsedChangesNothing() throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is on", () -> fixture.discovery.requests.size() == 1);
        reloadFor("nowhere");
        SidecarFixture.await("it is told", () -> fixture.logged().contains("field discovery is not usable: nowhere"));
        Files.writeString(fixture.configFile, "{");
        fixture.sidecar.reload();
        SidecarFixture.await("it is told", () -> fixture.logged().contains("is not JSON"));
        assertEquals("before", fixture.sendRequest("order", DEADLINE_MS).body());
        assertEquals(1, fixture.discovery.open.get(), "the old watch goes on");
        assertTrue(fixture.logged().contains("configuration not reloaded"), fixture.logged());
    }
}
