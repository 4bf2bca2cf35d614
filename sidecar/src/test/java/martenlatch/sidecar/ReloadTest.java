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

/** Tests reloads of the configuration: polling moves to the new discovery, and requests are not disturbed. */
@Timeout(60)
class ReloadTest {

    private static final int DEADLINE_MS = 8000;

    private final FakeEndpoint before = FakeEndpoint.answering(200, "", "before");
    private final FakeEndpoint after = FakeEndpoint.answering(200, "", "after");
    private SidecarFixture fixture = new SidecarFixture(before);

    ReloadTest() throws IOException {
        // The constructor declares the exception of the field initializers.
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

    /** Guards against using the version of the previous address: versions of different addresses are unrelated. */
    @Test
    void wholeListIsPolledAtNewAddressAtOnce() throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is started", () -> fixture.discovery.requests.size() == 1);
        try (FakeEndpoint next = discoveryWith(1, after);
                FakeEndpoint last = discoveryWith(1, before)) {
            reloadFor(next.address());
            SidecarFixture.await("the watch continues at the new address", () -> next.requests.size() == 2);
            assertEquals(
                    "GET /registry/instances HTTP/1.1", next.requests.get(0).startLine());
            assertEquals(
                    "GET /registry/instances?index=1&wait=4000 HTTP/1.1",
                    next.requests.get(1).startLine());
            SidecarFixture.await("the previous watch is closed", () -> fixture.discovery.open.get() == 0);
            assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
            reloadFor(last.address());
            SidecarFixture.await("the watch continues after a second move", () -> last.requests.size() == 2);
            assertEquals("before", fixture.sendRequest("order", DEADLINE_MS).body());
        }
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /** Guards against a fleet that polls a new discovery address all at once and is rejected by it. */
    @Test
    void firstPollsAfterMoveAreSpread() throws Exception {
        fixture.pollIntervalMs = 2000;
        fixture.start();
        List<Double> delaysMs = new ArrayList<>();
        try (FakeEndpoint one = discoveryWith(1, after);
                FakeEndpoint other = discoveryWith(1, before)) {
            for (int i = 0; i < 6; i++) {
                FakeEndpoint next = i % 2 == 0 ? one : other;
                int polls = next.requests.size();
                long startNanos = System.nanoTime();
                Files.writeString(
                        fixture.configFile,
                        fixture.config()
                                .replace(fixture.discovery.address(), next.address())
                                .replace("\"replicas-of-me\":1", "\"replicas-of-me\":40"));
                fixture.sidecar.reload();
                SidecarFixture.await("the new address is polled", () -> next.requests.size() > polls);
                delaysMs.add((System.nanoTime() - startNanos) / 1e6);
            }
        }
        assertTrue(Collections.max(delaysMs) > 200, "all polls came within 200 ms of up to 975 ms: " + delaysMs);
    }

    /** Guards against a reload that disturbs a request whose attempt is in flight. */
    @Test
    void requestInFlightIsNotDisturbed() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        before.script = (wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", "before");
        };
        fixture.start();
        try (FakeEndpoint next = discoveryWith(5, after);
                RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is in flight", () -> before.requests.size() == 1);
            reloadFor(next.address());
            SidecarFixture.await("the new list is applied", () -> next.requests.size() == 2);
            release.countDown();
            assertEquals("before", client.read().body());
        }
    }

    /** Guards against a class that is added too late, or removed while requests of it are in flight. */
    @Test
    void requestClassesAreAddedAndRemoved() throws Exception {
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
        try (RawHttpClient first = fixture.client()) {
            first.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the request is in flight", () -> before.requests.size() == 1);
            RawHttpClient second = fixture.client().send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await("another request is in flight", () -> before.requests.size() == 2);
            Files.writeString(
                    fixture.configFile,
                    fixture.config().replace("\"order\"", "\"print\"").replace("\"try-limit\":3", "\"try-limit\":1"));
            fixture.sidecar.reload();
            SidecarFixture.await("the reload is logged", () -> fixture.logged().contains("settings changed"));
            assertEquals(200, fixture.sendRequest("print", DEADLINE_MS).status());
            assertEquals(400, fixture.sendRequest("order", DEADLINE_MS).status());
            release.countDown();
            assertEquals("before", first.read().body());
            assertEquals("before", second.read().body(), "retried according to the settings at its arrival");
            second.close();
        }
        before.script = (wire, request) -> wire.reset();
        int sent = before.requests.size();
        assertEquals(503, fixture.sendRequest("read", DEADLINE_MS).status());
        assertEquals(sent + 1, before.requests.size(), "at most one attempt for new requests");
    }

    /** Guards against applying a part of an incomplete or invalid file, such as the new address of discovery. */
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
    void incompleteOrInvalidFileChangesNothing(String original, String replacement, String expectedMessage)
            throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is started", () -> fixture.discovery.requests.size() == 1);
        String good = fixture.config().replace(fixture.discovery.address(), after.address());
        int last = good.lastIndexOf(original);
        Files.writeString(
                fixture.configFile,
                good.substring(0, last)
                        + (replacement == null ? "" : replacement)
                        + good.substring(last + original.length()));
        fixture.sidecar.reload();
        SidecarFixture.await("the error is logged", () -> fixture.logged().contains(expectedMessage));
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, fixture.discovery.open.get(), "the previous watch continues");
        assertEquals(0, after.connections.get());
    }

    /** Guards against applying a file with an invalid discovery address or invalid JSON. */
    @Test
    void unparsableFileChangesNothing() throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.start();
        SidecarFixture.await("a watch is started", () -> fixture.discovery.requests.size() == 1);
        reloadFor("nowhere");
        SidecarFixture.await(
                "the error is logged", () -> fixture.logged().contains("field discovery is not usable: nowhere"));
        Files.writeString(fixture.configFile, "{");
        fixture.sidecar.reload();
        SidecarFixture.await("the error is logged", () -> fixture.logged().contains("is not JSON"));
        assertEquals("before", fixture.sendRequest("order", DEADLINE_MS).body());
        assertEquals(1, fixture.discovery.open.get(), "the previous watch continues");
        assertTrue(fixture.logged().contains("configuration not reloaded"), fixture.logged());
    }
}
