package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Answers and bodies that are passed on as they come, with peers that are slow, stall or break off. */
@Timeout(120)
class LongBodiesTest {

    private static final int DEADLINE_MS = 8000;
    private static final int MB = 1024 * 1024;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private Rig rig;

    @AfterEach
    void stop() throws IOException {
        rig.close();
    }

    private void start(Fake.Script... scripts) throws IOException {
        Fake[] fakes = new Fake[scripts.length];
        for (int i = 0; i < fakes.length; i++) {
            fakes[i] = new Fake(scripts[i]);
        }
        rig = new Rig(fakes);
        rig.start();
    }

    private static byte[] bytes(int seed, int size) {
        byte[] made = new byte[size];
        new Random(seed).nextBytes(made);
        return made;
    }

    /** A body in chunks of odd sizes. */
    private static byte[] chunked(byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int at = 0; at < body.length; ) {
            int size = Math.min(body.length - at, 1 + at % 30_011);
            out.write((Integer.toHexString(size) + ";x=y\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body, at, size);
            out.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            at += size;
        }
        out.write("0\r\nX-Trailer: t\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return out.toByteArray();
    }

    private static void write(Wire wire, String head, byte[] body) throws IOException {
        OutputStream out = wire.socket.getOutputStream();
        out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
    }

    private String post(String framing) {
        return "POST /api?q=1 HTTP/1.1\r\nX-Request-Id: p" + System.nanoTime() + "\r\nX-Class: order\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MS + "\r\nHost: app.svc\r\n" + framing;
    }

    /** Reads one answer whole: by its length, its chunks, or its connection's end. */
    private static byte[] body(Wire wire) throws IOException {
        Wire.Message head = wire.readHead();
        assertEquals(200, head.status());
        return wire.readBody(head);
    }

    private int open() {
        return rig.endpoints.stream().mapToInt(endpoint -> endpoint.open.get()).sum();
    }

    // ---- answers ----

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
        byte[] made = bytes(size, size);
        start((wire, request) -> {
            switch (form) {
                case "length" -> write(wire, OK + "Content-Length: " + size + "\r\n", made);
                case "chunked" -> write(wire, OK + "Transfer-Encoding: chunked\r\n", chunked(made));
                default -> {
                    write(wire, OK + "Connection: close\r\n", made);
                    wire.close();
                }
            }
        });
        try (Wire client = rig.client()) {
            for (int i = 0; i < 3; i++) {
                client.send(rig.request(i == 1 ? "read" : "order", DEADLINE_MS));
                assertArrayEquals(made, body(client));
                Rig.settle();
            }
        }
        assertEquals(
                form.equals("close") ? 3 : 1, rig.endpoints.get(0).connections.get());
    }

    /** Guards against an answer held back until all of it has come. */
    @Test
    void itsFirstBytesComeBeforeItsLast() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        byte[] made = bytes(1, 300_000);
        start((wire, request) -> {
            write(wire, OK + "Content-Length: 300000\r\n", Arrays.copyOf(made, 100_000));
            release.await();
            wire.socket.getOutputStream().write(made, 100_000, 200_000);
        });
        try (Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            Wire.Message head = client.readHead();
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
        byte[] made = bytes(2, 400_000);
        start((wire, request) -> {
            byte[] all = form.equals("chunked") ? chunked(made) : made;
            write(
                    wire,
                    OK
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
        try (Wire client = rig.client()) {
            client.send(rig.request("order", DEADLINE_MS));
            assertThrows(IOException.class, () -> body(client));
        }
        assertEquals(1, rig.attempts(), "it may have run");
    }

    /** A short answer that a reset cuts is none, though its head says that the connection's end ends it. */
    @Test
    void aResetIsNoEndOfAnAnswer() throws Exception {
        start((wire, request) -> {
            wire.send(OK + "Connection: close\r\n\r\nhalf");
            Thread.sleep(100);
            wire.reset();
        });
        assertEquals(502, rig.ask("order", DEADLINE_MS).status());
    }

    /**
     * Guards against memory by the size of answers: many at once, to clients that read nothing for a while.
     */
    @Test
    void manyLongAnswersToSlowClientsTakeLittleMemory() throws Exception {
        int clients = 30;
        byte[] made = bytes(3, 8 * MB);
        AtomicInteger sent = new AtomicInteger();
        start((wire, request) -> {
            OutputStream out = wire.socket.getOutputStream();
            wire.send(OK + "Content-Length: " + made.length + "\r\n\r\n");
            for (int at = 0; at < made.length; at += 64 * 1024) {
                out.write(made, at, 64 * 1024);
                sent.addAndGet(64 * 1024);
            }
        });
        List<Wire> waiting = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            // One after the other has begun: the decisions' first limit is small, and a begun answer frees
            // its place.
            Wire client = Wire.to(rig.sidecar.address(), 32 * 1024);
            Wire.Message head = client.send(rig.request("order", DEADLINE_MS)).readHead();
            assertEquals(200, head.status());
            waiting.add(client);
        }
        long before = -1;
        while (before != sent.get()) {
            before = sent.get();
            Thread.sleep(200);
        }
        assertTrue(sent.get() < clients * made.length * 0.75, sent + " bytes have left the endpoint");
        long held = io.netty.util.internal.PlatformDependent.usedDirectMemory();
        assertTrue(held < 24L * MB, held + " bytes of direct memory");
        for (Wire client : waiting) {
            assertArrayEquals(made, client.read(made.length));
            client.close();
        }
    }

    /** A client that goes away in the middle lets the endpoint go, and the slot was free long before. */
    @Test
    void aClientThatGoesAwayEndsTheAnswer() throws Exception {
        start((wire, request) -> {
            OutputStream out = wire.socket.getOutputStream();
            out.write((OK + "Content-Length: 33554432\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            while (true) {
                out.write(new byte[64 * 1024]);
            }
        });
        Wire client = rig.client();
        assertEquals(
                200, client.send(rig.request("order", DEADLINE_MS)).readHead().status());
        client.reset();
        Rig.await("the endpoint is let go", () -> open() == 0);
        assertEquals(
                List.of(0, 1),
                rig.sidecar.loop().submit(() -> rig.sidecar.tableSizes()).get());
    }

    /** Requests behind one whose answer is long get theirs behind it, in order. */
    @Test
    void answersStayInOrderBehindALongOne() throws Exception {
        byte[] made = bytes(4, 2 * MB);
        start((wire, request) -> {
            if (request.headers().get("x-request-id").equals("r1")) {
                write(wire, OK + "Transfer-Encoding: chunked\r\n", chunked(made));
            } else {
                Fake.answer(wire, 200, "", request.headers().get("x-request-id"));
            }
        });
        try (Wire client = rig.client()) {
            client.send(rig.request("read", DEADLINE_MS)
                    + rig.request("read", DEADLINE_MS)
                    + rig.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertArrayEquals(made, body(client));
            assertEquals("r2", client.read().body());
        }
    }

    // ---- bodies of requests ----

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
        byte[] sent = bytes(size, size);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                for (int i = 0; i < 2; i++) {
                    write(
                            client,
                            post(
                                    form.equals("length")
                                            ? "Content-Length: " + size + "\r\n"
                                            : "Transfer-Encoding: chunked\r\n"),
                            form.equals("length") ? sent : chunked(sent));
                    assertEquals("eaten", client.read().body());
                    assertArrayEquals(sent, received.take());
                    Rig.settle();
                }
            }
            assertEquals(1, eater.connections.get());
        }
    }

    /**
     * Guards against a client that waits for a word to go on, and against one that sends 8 MB for a
     * refusal.
     */
    @Test
    void whoAsksFirstIsToldToGoOnOnceThereIsAnEndpoint() throws Exception {
        byte[] sent = bytes(5, 3 * MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                client.send(post("Expect: 100-continue\r\nContent-Length: " + sent.length + "\r\n\r\n"));
                assertEquals(100, client.readHead().status());
                client.socket.getOutputStream().write(sent);
                assertEquals("eaten", client.read().body());
                assertArrayEquals(sent, received.take());
            }
        }
        try (Wire client = rig.client()) {
            client.send(post("Expect: 100-continue\r\nContent-Length: " + sent.length + "\r\n\r\n"));
            assertEquals(503, client.read().status(), "the endpoint is gone: nobody need send the body");
        }
    }

    /** Guards against a head that loses what it says of its own connection while its body is passed on. */
    @Test
    void aLongBodyOnAConnectionThatEndsIsTheLastRequest() throws Exception {
        byte[] sent = bytes(9, 3 * MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                write(client, post("Connection: close\r\nContent-Length: " + sent.length + "\r\n"), sent);
                client.send(rig.request("read", DEADLINE_MS));
                Wire.Message answer = client.read();
                assertEquals("eaten", answer.body());
                assertEquals("close", answer.headers().get("connection"));
                client.awaitEnd();
            }
            assertArrayEquals(sent, received.take());
            assertEquals(0, received.size(), "what comes behind the last request is none");
        }
    }

    /** A fast client before a slow endpoint: it is held back, and what it sends is not held here. */
    @Test
    void aFastClientWaitsForASlowEndpoint() throws Exception {
        byte[] sent = bytes(6, 6 * MB);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 5)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                write(client, post("Content-Length: " + sent.length + "\r\n"), sent);
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
        byte[] sent = bytes(7, 1_300_000);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
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
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                client.send(post("Content-Length: " + length + "\r\n\r\n") + "x".repeat(20_000));
                assertEquals(408, client.read().status());
                assertThrows(EOFException.class, client::read);
            }
            Rig.await("the endpoint is let go", () -> eater.open.get() == 0);
            assertEquals(0, received.size());
            assertEquals(
                    List.of(0, 1),
                    rig.sidecar.loop().submit(() -> rig.sidecar.tableSizes()).get());
        }
    }

    /** A slow head, and a body at 64 kB a second, are a slow client's and no attack. */
    @Test
    void aSlowClientIsServed() throws Exception {
        byte[] sent = bytes(8, 192 * 1024);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
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
        try (Eater eater = new Eater(new LinkedBlockingQueue<>(), 0)) {
            eater.breakAfter = 200_000;
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                client.send(post("Content-Length: 3000000\r\n\r\n") + "x".repeat(1_000_000));
                assertEquals(503, client.read().status());
            }
            assertEquals(1, eater.connections.get(), "a part of the body is gone: no second attempt");
        }
    }

    /** Guards against an endpoint that takes no more of a body: nobody would ever end it. */
    @Test
    void anEndpointThatReadsNothingIsGivenUp() throws Exception {
        try (Eater eater = new Eater(new LinkedBlockingQueue<>(), 0)) {
            eater.stopAfter = 100_000;
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                Thread writer = new Thread(() -> {
                    try {
                        write(client, post("Content-Length: 33554432\r\n"), new byte[32 * MB]);
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
        try (Eater eater = new Eater(new LinkedBlockingQueue<>(), 0)) {
            eater.early = "HTTP/1.1 " + status + " x\r\n" + header + "\r\nContent-Length: 0\r\n\r\n";
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
                client.send(post("Content-Length: 3000000\r\n\r\n") + "x".repeat(100_000));
                assertEquals(expected, client.read().status());
            }
            assertEquals(1, eater.connections.get());
            Rig.await("its connection is of no more use", () -> eater.open.get() == 0);
        }
    }

    /** Over the bound it is refused, in chunks too, and no endpoint has had the whole of it. */
    @Test
    void aBodyOverTheBoundIsRefused() throws Exception {
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            try (Wire client = rig.client()) {
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
            Rig.await("the endpoint is let go", () -> eater.open.get() == 0);
        }
    }

    /** Guards against room that bodies keep after their answers: it would be gone for good. */
    @Test
    void answersGiveTheRoomOfBodiesBack() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start((wire, request) -> {
            release.await();
            Fake.answer(wire, 200, "", "served");
        });
        byte[] body = bytes(10, 100_000);
        try (Wire client = rig.client()) {
            for (int i = 0; i < 9; i++) {
                write(client, post("Content-Length: " + body.length + "\r\n"), body);
            }
            Rig.await("some are in hand", () -> rig.attempts() > 0);
            release.countDown();
            for (int i = 0; i < 9; i++) {
                client.read();
            }
        }
        Rig.await(
                "all room is free",
                () -> rig.sidecar
                                .loop()
                                .submit(() -> rig.sidecar.bodyRoomTaken())
                                .syncUninterruptibly()
                                .getNow()
                        == 0);
    }

    /**
     * Guards against bodies that together take all memory: those for which there is no room are passed on.
     */
    @Test
    void manyBodiesAtOnceAreServed() throws Exception {
        byte[] sent = bytes(9, 900_000);
        LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        try (Eater eater = new Eater(received, 0)) {
            rig = new Rig(eater.fake());
            rig.start();
            List<Wire> clients = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                Wire client = rig.client();
                write(client, post("Content-Length: " + sent.length + "\r\n"), Arrays.copyOf(sent, 700_000));
                clients.add(client);
            }
            int served = 0;
            for (Wire client : clients) {
                client.socket.getOutputStream().write(sent, 700_000, 200_000);
                Wire.Message answer = client.read();
                assertTrue(answer.status() == 200 || answer.status() == 503, answer.line());
                served += answer.status() == 200 ? 1 : 0;
                client.close();
            }
            assertTrue(served > 0);
            for (int i = 0; i < served; i++) {
                assertArrayEquals(sent, received.take());
            }
            assertFalse(rig.logged().contains("Error"), rig.logged());
        }
    }

    /** An endpoint that reads bodies of any form, at a pace, and can break off. */
    private static final class Eater implements AutoCloseable {
        final AtomicInteger connections = new AtomicInteger();
        final AtomicInteger open = new AtomicInteger();
        volatile int breakAfter = Integer.MAX_VALUE;
        volatile int stopAfter = Integer.MAX_VALUE;
        volatile String early;
        private final LinkedBlockingQueue<byte[]> received;
        private final int pauseMs;
        private final List<Socket> sockets = new CopyOnWriteArrayList<>();
        private final Fake place;
        private final ServerSocket listener;
        private final List<Thread> threads = new CopyOnWriteArrayList<>();

        Eater(LinkedBlockingQueue<byte[]> received, int pauseMs) throws IOException {
            this.received = received;
            this.pauseMs = pauseMs;
            // Closed and opened again, its port might be another's by then.
            place = Fake.place();
            listener = place.listener;
            start(this::accept);
        }

        private void start(Runnable task) {
            Thread thread = new Thread(task, "eater");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }

        Fake fake() {
            return place;
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    connections.incrementAndGet();
                    open.incrementAndGet();
                    sockets.add(socket);
                    start(() -> serve(socket));
                }
            } catch (IOException e) {
                // The test is over.
                return;
            }
        }

        private void serve(Socket socket) {
            try (Wire wire = new Wire(socket)) {
                while (true) {
                    Wire.Message head = wire.readHead();
                    if (early != null) {
                        wire.send(early).awaitEnd();
                        return;
                    }
                    byte[] body = wire.readBody(head, so -> {
                        if (so > breakAfter) {
                            wire.reset();
                        }
                        if (so > stopAfter) {
                            new CountDownLatch(1).await();
                        }
                        Thread.sleep(pauseMs);
                    });
                    received.add(body);
                    wire.send(OK + "Content-Length: 5\r\n\r\neaten");
                }
            } catch (Exception e) {
                // The connection is over, which the counter below tells.
                return;
            } finally {
                open.decrementAndGet();
            }
        }

        /** A socket that a thread still waits on is open until that thread is off it: so all are joined. */
        @Override
        public void close() throws IOException, InterruptedException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
            for (Thread thread : threads) {
                thread.interrupt();
                thread.join(Rig.PATIENCE_MS);
            }
        }
    }
}
