package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses that are long or end with their connection, from endpoints that break off, to clients that are slow. */
@Timeout(120)
class LongResponsesTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private int open() {
        return fixture.endpoints.stream()
                .mapToInt(endpoint -> endpoint.open.get())
                .sum();
    }

    @ParameterizedTest
    @CsvSource({
        "length,70000",
        "chunked,70000",
        "close,70000",
        "length,8000000",
        "chunked,8000000",
        "close,8000000",
        "close,100",
        "length,65536",
        "chunked,65536",
        "length,33554432"
    })
    void anAnswerOfAnyFormAndSizeComesAsItWasMade(String form, int size) throws Exception {
        byte[] made = LongBodies.bytes(size, size);
        fixture = SidecarFixture.startedWith((wire, request) -> {
            switch (form) {
                case "length" -> LongBodies.write(wire, LongBodies.OK + "Content-Length: " + size + "\r\n", made);
                case "chunked" ->
                    LongBodies.write(wire, LongBodies.OK + "Transfer-Encoding: chunked\r\n", LongBodies.chunked(made));
                default -> {
                    LongBodies.write(wire, LongBodies.OK + "Connection: close\r\n", made);
                    wire.close();
                }
            }
        });
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                client.send(fixture.request(i == 1 ? "read" : "order", DEADLINE_MS));
                assertArrayEquals(made, LongBodies.body(client));
                SidecarFixture.awaitReuseDelay();
            }
        }
        assertEquals(
                form.equals("close") ? 3 : 1,
                fixture.endpoints.get(0).connections.get());
    }

    /** Guards against an answer held back until all of it has come. */
    @Test
    void itsFirstBytesComeBeforeItsLast() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        byte[] made = LongBodies.bytes(1, 300_000);
        fixture = SidecarFixture.startedWith((wire, request) -> {
            LongBodies.write(wire, LongBodies.OK + "Content-Length: 300000\r\n", Arrays.copyOf(made, 100_000));
            release.await();
            wire.socket.getOutputStream().write(made, 100_000, 200_000);
        });
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            RawHttpClient.Message head = client.readHead();
            assertEquals("300000", head.headers().get("content-length"));
            assertArrayEquals(Arrays.copyOf(made, 100_000), client.read(100_000));
            release.countDown();
            assertArrayEquals(Arrays.copyOfRange(made, 100_000, 300_000), client.read(200_000));
        }
    }

    /** Guards against half an answer that a client takes for the whole. */
    @ParameterizedTest
    @CsvSource({"length,false", "chunked,false", "length,true", "chunked,true", "close,true"})
    void anAnswerCutShortIsSeenToBe(String form, boolean reset) throws Exception {
        byte[] made = LongBodies.bytes(2, 400_000);
        fixture = SidecarFixture.startedWith((wire, request) -> {
            byte[] all = form.equals("chunked") ? LongBodies.chunked(made) : made;
            LongBodies.write(
                    wire,
                    LongBodies.OK
                            + (form.equals("length")
                                    ? "Content-Length: 400000\r\n"
                                    : form.equals("chunked")
                                            ? "Transfer-Encoding: chunked\r\n"
                                            : "Connection: close\r\n"),
                    Arrays.copyOf(all, 200_000));
            Thread.sleep(100);
            if (reset) {
                wire.reset();
            } else {
                wire.close();
            }
        });
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            assertThrows(IOException.class, () -> LongBodies.body(client));
        }
        assertEquals(1, fixture.attempts(), "it may have run");
    }

    /** A short answer that a reset cuts is none, though its head says that the connection's end ends it. */
    @Test
    void aResetIsNoEndOfAnAnswer() throws Exception {
        fixture = SidecarFixture.startedWith((wire, request) -> {
            wire.send(LongBodies.OK + "Connection: close\r\n\r\nhalf");
            Thread.sleep(100);
            wire.reset();
        });
        assertEquals(502, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    /**
     * Guards against memory by the size of answers: many at once, to clients that read nothing for a while.
     */
    @Test
    void manyLongAnswersToSlowClientsTakeLittleMemory() throws Exception {
        int clients = 30;
        byte[] made = LongBodies.bytes(3, 8 * LongBodies.MB);
        AtomicInteger sent = new AtomicInteger();
        fixture = SidecarFixture.startedWith((wire, request) -> {
            OutputStream out = wire.socket.getOutputStream();
            wire.send(LongBodies.OK + "Content-Length: " + made.length + "\r\n\r\n");
            for (int at = 0; at < made.length; at += 64 * 1024) {
                out.write(made, at, 64 * 1024);
                sent.addAndGet(64 * 1024);
            }
        });
        List<RawHttpClient> waiting = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            // One after the other has begun: the decisions' first limit is small, and a begun answer frees
            // its place.
            RawHttpClient client = RawHttpClient.connect(fixture.sidecar.address(), 32 * 1024);
            RawHttpClient.Message head =
                    client.send(fixture.request("order", DEADLINE_MS)).readHead();
            assertEquals(200, head.status());
            waiting.add(client);
        }
        long before = -1;
        while (before != sent.get()) {
            before = sent.get();
            Thread.sleep(200);
        }
        assertTrue(sent.get() < clients * made.length * 0.75, sent + " bytes have left the endpoint");
        long held = PlatformDependent.usedDirectMemory();
        assertTrue(held < 24L * LongBodies.MB, held + " bytes of direct memory");
        for (RawHttpClient client : waiting) {
            assertArrayEquals(made, client.read(made.length));
            client.close();
        }
    }

    /** A client that goes away in the middle lets the endpoint go, and the slot was free long before. */
    @Test
    void aClientThatGoesAwayEndsTheAnswer() throws Exception {
        fixture = SidecarFixture.startedWith((wire, request) -> {
            OutputStream out = wire.socket.getOutputStream();
            out.write((LongBodies.OK + "Content-Length: 33554432\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(new byte[64 * 1024]);
            }
        });
        RawHttpClient client = fixture.client();
        assertEquals(
                200,
                client.send(fixture.request("order", DEADLINE_MS)).readHead().status());
        client.reset();
        SidecarFixture.await("the endpoint is let go", () -> open() == 0);
        assertEquals(
                List.of(0, 1),
                fixture.sidecar
                        .loop()
                        .submit(() -> fixture.sidecar.tableSizes())
                        .get());
    }

    /** Requests behind one whose answer is long get theirs behind it, in order. */
    @Test
    void answersStayInOrderBehindALongOne() throws Exception {
        byte[] made = LongBodies.bytes(4, 2 * LongBodies.MB);
        fixture = SidecarFixture.startedWith((wire, request) -> {
            if (request.headers().get("x-request-id").equals("r1")) {
                LongBodies.write(wire, LongBodies.OK + "Transfer-Encoding: chunked\r\n", LongBodies.chunked(made));
            } else {
                FakeEndpoint.answer(wire, 200, "", request.headers().get("x-request-id"));
            }
        });
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS)
                    + fixture.request("read", DEADLINE_MS)
                    + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertArrayEquals(made, LongBodies.body(client));
            assertEquals("r2", client.read().body());
        }
    }
}
