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

/** Tests long and close-delimited responses, endpoints that close or reset the connection early, and slow clients. */
@Timeout(120)
class LongResponsesTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Returns the number of open connections to all endpoints. */
    private int countOpenConnections() {
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
    void responseOfAnyFramingAndSizeIsForwardedUnchanged(String framing, int size) throws Exception {
        byte[] body = LongBodies.bytes(size, size);
        fixture = SidecarFixture.startedWith((connection, request) -> {
            switch (framing) {
                case "length" -> LongBodies.write(connection, LongBodies.OK + "Content-Length: " + size + "\r\n", body);
                case "chunked" ->
                    LongBodies.write(
                            connection, LongBodies.OK + "Transfer-Encoding: chunked\r\n", LongBodies.chunked(body));
                default -> {
                    LongBodies.write(connection, LongBodies.OK + "Connection: close\r\n", body);
                    connection.close();
                }
            }
        });
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 3; i++) {
                client.send(fixture.request(i == 1 ? "read" : "order", DEADLINE_MS));
                assertArrayEquals(body, LongBodies.body(client));
                SidecarFixture.awaitReuseDelay();
            }
        }
        assertEquals(
                framing.equals("close") ? 3 : 1,
                fixture.endpoints.get(0).connections.get());
    }

    /** Guards against holding a response back until all of it has arrived. */
    @Test
    void firstBytesAreForwardedBeforeResponseIsComplete() throws Exception {
        CountDownLatch remainderAllowed = new CountDownLatch(1);
        byte[] body = LongBodies.bytes(1, 300_000);
        fixture = SidecarFixture.startedWith((connection, request) -> {
            LongBodies.write(connection, LongBodies.OK + "Content-Length: 300000\r\n", Arrays.copyOf(body, 100_000));
            remainderAllowed.await();
            connection.socket.getOutputStream().write(body, 100_000, 200_000);
        });
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            RawHttpClient.Message head = client.readHead();
            assertEquals("300000", head.headers().get("content-length"));
            assertArrayEquals(Arrays.copyOf(body, 100_000), client.read(100_000));
            remainderAllowed.countDown();
            assertArrayEquals(Arrays.copyOfRange(body, 100_000, 300_000), client.read(200_000));
        }
    }

    /** Guards against a truncated response that looks complete to the client. */
    @ParameterizedTest
    @CsvSource({"length,false", "chunked,false", "length,true", "chunked,true", "close,true"})
    void truncatedResponseIsDetectedByClient(String framing, boolean reset) throws Exception {
        byte[] body = LongBodies.bytes(2, 400_000);
        fixture = SidecarFixture.startedWith((connection, request) -> {
            byte[] all = framing.equals("chunked") ? LongBodies.chunked(body) : body;
            LongBodies.write(
                    connection,
                    LongBodies.OK
                            + (framing.equals("length")
                                    ? "Content-Length: 400000\r\n"
                                    : framing.equals("chunked")
                                            ? "Transfer-Encoding: chunked\r\n"
                                            : "Connection: close\r\n"),
                    Arrays.copyOf(all, 200_000));
            Thread.sleep(100);
            if (reset) {
                connection.reset();
            } else {
                connection.close();
            }
        });
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            assertThrows(IOException.class, () -> LongBodies.body(client));
        }
        assertEquals(1, fixture.attempts(), "the request may have been executed, so it is not retried");
    }

    /** A reset does not complete a close-delimited response, even a short one. */
    @Test
    void resetDoesNotCompleteResponse() throws Exception {
        fixture = SidecarFixture.startedWith((connection, request) -> {
            connection.send(LongBodies.OK + "Connection: close\r\n\r\nhalf");
            Thread.sleep(100);
            connection.reset();
        });
        assertEquals(502, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    /**
     * Guards against memory use that grows with the size of responses, when many clients read nothing for a while.
     */
    @Test
    void longResponsesToSlowClientsUseBoundedMemory() throws Exception {
        int clients = 30;
        byte[] body = LongBodies.bytes(3, 8 * LongBodies.MB);
        AtomicInteger sentBytes = new AtomicInteger();
        fixture = SidecarFixture.startedWith((connection, request) -> {
            OutputStream out = connection.socket.getOutputStream();
            connection.send(LongBodies.OK + "Content-Length: " + body.length + "\r\n\r\n");
            for (int offset = 0; offset < body.length; offset += 64 * 1024) {
                out.write(body, offset, 64 * 1024);
                sentBytes.addAndGet(64 * 1024);
            }
        });
        List<RawHttpClient> pausedClients = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            // Each request waits for the previous response to start: the initial concurrency limit is small, and a
            // response that has started frees its slot.
            RawHttpClient client = RawHttpClient.connect(fixture.sidecar.address(), 32 * 1024);
            RawHttpClient.Message head =
                    client.send(fixture.request("order", DEADLINE_MS)).readHead();
            assertEquals(200, head.status());
            pausedClients.add(client);
        }
        long previouslySentBytes = -1;
        while (previouslySentBytes != sentBytes.get()) {
            previouslySentBytes = sentBytes.get();
            Thread.sleep(200);
        }
        assertTrue(sentBytes.get() < clients * body.length * 0.75, sentBytes + " bytes were sent by the endpoint");
        long directMemoryBytes = PlatformDependent.usedDirectMemory();
        assertTrue(directMemoryBytes < 24L * LongBodies.MB, directMemoryBytes + " bytes of direct memory are in use");
        for (RawHttpClient client : pausedClients) {
            assertArrayEquals(body, client.read(body.length));
            client.close();
        }
    }

    /**
     * Guards against a response that is cut because its client reads nothing for a while: what counts is progress, and
     * the time limit is longer than such a pause.
     */
    @ParameterizedTest
    @CsvSource({"400000, close", "400000, keep-alive", "60000, close", "60000, keep-alive"})
    void responseIsCompleteAlthoughClientPauses(int size, String connectionOption) throws Exception {
        byte[] body = LongBodies.bytes(5, size);
        fixture = SidecarFixture.startedWith((connection, request) ->
                LongBodies.write(connection, LongBodies.OK + "Content-Length: " + size + "\r\n", body));
        try (RawHttpClient client = RawHttpClient.connect(fixture.sidecar.address(), 4096)) {
            client.send(fixture.request("read", DEADLINE_MS)
                    .replace("Host: app.svc", "Host: app.svc\r\nConnection: " + connectionOption));
            // Longer than the 5 s of an idle connection and the 2.5 s of a request head.
            Thread.sleep(7000);
            assertArrayEquals(body, LongBodies.body(client));
        }
    }

    /** A client disconnect during a response closes the endpoint's connection. The slot was already free before. */
    @Test
    void clientDisconnectClosesEndpointConnection() throws Exception {
        fixture = SidecarFixture.startedWith((connection, request) -> {
            OutputStream out = connection.socket.getOutputStream();
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
        SidecarFixture.await("the connection to the endpoint is closed", () -> countOpenConnections() == 0);
        assertEquals(
                List.of(0, 1),
                fixture.sidecar
                        .loop()
                        .submit(() -> fixture.sidecar.tableSizes())
                        .get());
    }

    /** Responses to pipelined requests follow a long response in the order of the requests. */
    @Test
    void responsesStayInOrderAfterLongOne() throws Exception {
        byte[] body = LongBodies.bytes(4, 2 * LongBodies.MB);
        fixture = SidecarFixture.startedWith((connection, request) -> {
            if (request.headers().get("x-request-id").equals("r1")) {
                LongBodies.write(
                        connection, LongBodies.OK + "Transfer-Encoding: chunked\r\n", LongBodies.chunked(body));
            } else {
                FakeEndpoint.answer(connection, 200, "", request.headers().get("x-request-id"));
            }
        });
        try (RawHttpClient client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS)
                    + fixture.request("read", DEADLINE_MS)
                    + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertArrayEquals(body, LongBodies.body(client));
            assertEquals("r2", client.read().body());
        }
    }
}
