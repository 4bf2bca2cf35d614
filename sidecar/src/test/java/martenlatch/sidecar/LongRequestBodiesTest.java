package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Request bodies that are long or slow, before endpoints that are slow, stall, break off or answer early. */
@Timeout(120)
class LongRequestBodiesTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private String post(String framing) {
        return "POST /api?q=1 HTTP/1.1\r\nX-Request-Id: p" + System.nanoTime() + "\r\nX-Class: order\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MS + "\r\nHost: app.svc\r\n" + framing;
    }

    @ParameterizedTest
    @CsvSource({
        "length,70000",
        "chunked,70000",
        "length,1000000",
        "chunked,1000000",
        "length,8000000",
        "chunked,8000000",
        "length,33554432"
    })
    void aBodyOfAnySizeReachesTheEndpointAsItWas(String form, int size) throws Exception {
        byte[] sent = LongBodies.bytes(size, size);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                for (int i = 0; i < 2; i++) {
                    LongBodies.write(
                            client,
                            post(
                                    form.equals("length")
                                            ? "Content-Length: " + size + "\r\n"
                                            : "Transfer-Encoding: chunked\r\n"),
                            form.equals("length") ? sent : LongBodies.chunked(sent));
                    assertEquals("eaten", client.read().body());
                    assertArrayEquals(sent, received.take());
                    SidecarFixture.awaitReuseDelay();
                }
            }
            assertEquals(1, endpoint.connections.get());
        }
    }

    /**
     * Guards against a client that waits for a word to go on, and against one that sends 8 LongBodies.MB for a
     * refusal.
     */
    @Test
    void whoAsksFirstIsToldToGoOnOnceThereIsAnEndpoint() throws Exception {
        byte[] sent = LongBodies.bytes(5, 3 * LongBodies.MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Expect: 100-continue\r\nContent-Length: " + sent.length + "\r\n\r\n"));
                assertEquals(100, client.readHead().status());
                client.socket.getOutputStream().write(sent);
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
        try (RawHttpClient client = fixture.client()) {
            client.send(post("Expect: 100-continue\r\nContent-Length: " + sent.length + "\r\n\r\n"));
            assertEquals(503, client.read().status(), "the endpoint is gone: nobody need send the body");
        }
    }

    /** Guards against a head that loses what it says of its own connection while its body is passed on. */
    @Test
    void aLongBodyOnAConnectionThatEndsIsTheLastRequest() throws Exception {
        byte[] sent = LongBodies.bytes(9, 3 * LongBodies.MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                LongBodies.write(client, post("Connection: close\r\nContent-Length: " + sent.length + "\r\n"), sent);
                client.send(fixture.request("read", DEADLINE_MS));
                RawHttpClient.Message answer = client.read();
                assertEquals("eaten", answer.body());
                assertEquals("close", answer.headers().get("connection"));
                client.awaitClose();
            }
            assertArrayEquals(sent, received.take());
            assertEquals(0, received.size(), "what comes behind the last request is none");
        }
    }

    /** A fast client before a slow endpoint: it is held back, and what it sends is not held here. */
    @Test
    void aFastClientWaitsForASlowEndpoint() throws Exception {
        byte[] sent = LongBodies.bytes(6, 6 * LongBodies.MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 5)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                LongBodies.write(client, post("Content-Length: " + sent.length + "\r\n"), sent);
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
    }

    /**
     * Its time counts from its last byte: a body that takes longer than its deadline is served all the
     * same.
     */
    @Test
    void theTimeOfARequestBeginsWithItsLastByte() throws Exception {
        byte[] sent = LongBodies.bytes(7, 1_300_000);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: " + sent.length + "\r\n\r\n")
                        .replace("X-Deadline-Ms: " + DEADLINE_MS, "X-Deadline-Ms: 700"));
                for (int at = 0; at < sent.length; at += 100_000) {
                    client.socket.getOutputStream().write(sent, at, 100_000);
                    Thread.sleep(100);
                }
                assertEquals("eaten", client.read().body());
            }
        }
    }

    /** Guards against a body that never ends: one answer, nothing run, nothing left behind. */
    @ParameterizedTest
    @ValueSource(ints = {40_000, 3_000_000})
    void aBodyThatStallsGetsOneAnswer(int length) throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: " + length + "\r\n\r\n") + "x".repeat(20_000));
                assertEquals(408, client.read().status());
                assertThrows(EOFException.class, client::read);
            }
            SidecarFixture.await("the endpoint is let go", () -> endpoint.open.get() == 0);
            assertEquals(0, received.size());
            assertEquals(
                    List.of(0, 1),
                    fixture.sidecar
                            .loop()
                            .submit(() -> fixture.sidecar.tableSizes())
                            .get());
        }
    }

    /** A slow head, and a body at 64 kB a second, are a slow client's and no attack. */
    @Test
    void aSlowClientIsServed() throws Exception {
        byte[] sent = LongBodies.bytes(8, 192 * 1024);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                String head = post("Content-Length: " + sent.length + "\r\n\r\n");
                for (int at = 0; at < head.length(); at += 10) {
                    client.send(head.substring(at, Math.min(head.length(), at + 10)));
                    Thread.sleep(1800 * 10 / head.length());
                }
                for (int at = 0; at < sent.length; at += 8192) {
                    client.socket.getOutputStream().write(sent, at, 8192);
                    Thread.sleep(125);
                }
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
    }

    /**
     * Guards against an effect twice: half of a body is surely not run, and the client hears that it was
     * not.
     */
    @Test
    void anEndpointThatBreaksOffInTheMiddleHasNotRunIt() throws Exception {
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), 0)) {
            endpoint.breakAfter = 200_000;
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: 3000000\r\n\r\n") + "x".repeat(1_000_000));
                assertEquals(503, client.read().status());
            }
            assertEquals(1, endpoint.connections.get(), "a part of the body is gone: no second attempt");
        }
    }

    /** Guards against an endpoint that takes no more of a body: nobody would ever end it. */
    @Test
    void anEndpointThatReadsNothingIsGivenUp() throws Exception {
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), 0)) {
            endpoint.stopAfter = 100_000;
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                Thread writer = new Thread(() -> {
                    try {
                        LongBodies.write(client, post("Content-Length: 33554432\r\n"), new byte[32 * LongBodies.MB]);
                    } catch (IOException e) {
                        // The answer comes before all is sent.
                        return;
                    }
                });
                writer.start();
                assertEquals(503, client.read().status());
                writer.join();
            }
        }
    }

    /** An endpoint that turns a request away before the whole body has come. */
    @ParameterizedTest
    @CsvSource({"503,X-Not-Run: 1,503", "413,Y: z,413", "500,Y: z,502", "200,Y: z,502"})
    void anEarlyAnswerIsTakenForWhatItIs(int status, String header, int expected) throws Exception {
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(new LinkedBlockingQueue<>(), 0)) {
            endpoint.early = "HTTP/1.1 " + status + " x\r\n" + header + "\r\nContent-Length: 0\r\n\r\n";
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Content-Length: 3000000\r\n\r\n") + "x".repeat(100_000));
                assertEquals(expected, client.read().status());
            }
            assertEquals(1, endpoint.connections.get());
            SidecarFixture.await("its connection is of no more use", () -> endpoint.open.get() == 0);
        }
    }

    /** Over the bound it is refused, in chunks too, and no endpoint has had the whole of it. */
    @Test
    void aBodyOverTheBoundIsRefused() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            try (RawHttpClient client = fixture.client()) {
                client.send(post("Transfer-Encoding: chunked\r\n\r\n"));
                Thread writer = new Thread(() -> {
                    try {
                        OutputStream out = client.socket.getOutputStream();
                        byte[] chunk =
                                ("40000\r\n" + "x".repeat(0x40000) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
                        for (int i = 0; i < 140; i++) {
                            out.write(chunk);
                        }
                    } catch (IOException e) {
                        return;
                    }
                });
                writer.start();
                assertEquals(413, client.read().status());
                writer.join();
            }
            assertEquals(0, received.size());
            SidecarFixture.await("the endpoint is let go", () -> endpoint.open.get() == 0);
        }
    }

    /** Guards against room that bodies keep after their answers: it would be gone for good. */
    @Test
    void answersGiveTheRoomOfBodiesBack() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture = SidecarFixture.startedWith((wire, request) -> {
            release.await();
            FakeEndpoint.answer(wire, 200, "", "served");
        });
        byte[] body = LongBodies.bytes(10, 100_000);
        try (RawHttpClient client = fixture.client()) {
            for (int i = 0; i < 9; i++) {
                LongBodies.write(client, post("Content-Length: " + body.length + "\r\n"), body);
            }
            SidecarFixture.await("some are in hand", () -> fixture.attempts() > 0);
            release.countDown();
            for (int i = 0; i < 9; i++) {
                client.read();
            }
        }
        SidecarFixture.await(
                "all room is free",
                () -> fixture.sidecar
                                .loop()
                                .submit(() -> fixture.sidecar.bodyBytesHeld())
                                .syncUninterruptibly()
                                .getNow()
                        == 0);
    }

    /**
     * Guards against bodies that together take all memory: those for which there is no room are passed on.
     */
    @Test
    void manyBodiesAtOnceAreServed() throws Exception {
        byte[] sent = LongBodies.bytes(9, 900_000);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (BodyReadingEndpoint endpoint = new BodyReadingEndpoint(received, 0)) {
            fixture = new SidecarFixture(endpoint.fakeEndpoint());
            fixture.start();
            List<RawHttpClient> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                RawHttpClient client = fixture.client();
                LongBodies.write(client, post("Content-Length: " + sent.length + "\r\n"), Arrays.copyOf(sent, 700_000));
                clients.add(client);
            }
            int served = 0;
            for (RawHttpClient client : clients) {
                client.socket.getOutputStream().write(sent, 700_000, 200_000);
                RawHttpClient.Message answer = client.read();
                assertTrue(answer.status() == 200 || answer.status() == 503, answer.startLine());
                served += answer.status() == 200 ? 1 : 0;
                client.close();
            }
            assertTrue(served > 0);
            for (int i = 0; i < served; i++) {
                assertArrayEquals(sent, received.take());
            }
            assertFalse(fixture.logged().contains("Error"), fixture.logged());
        }
    }
}
