package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that the body of a request is released however the request ends. Each test sends bodies of several sizes and
 * framings, all, half or nothing of them, from clients that stay, shut their output or go.
 */
@Timeout(120)
class RequestBodyReleaseTest {

    private static final int DEADLINE_MS = 1500;
    private static final int KIB = 1024;
    private static final int[] BODY_BYTES = {64 * KIB, 1024 * KIB, 1536 * KIB, 4096 * KIB};
    /** How long a client stays that has not sent its whole body. */
    private static final int STAY_MS = 300;

    /** What becomes of the requests. */
    enum Trouble {
        NONE,
        UNKNOWN_CLASS,
        SAME_ID_IN_FLIGHT,
        NO_ENDPOINT,
        CONNECTIONS_REFUSED,
        CONNECTIONS_ESTABLISHED_LATE,
        CONNECTIONS_NEVER_ESTABLISHED,
        EARLY_RESPONSE,
        ENDPOINT_STOPS_READING,
        DISABLED_WHILE_CONNECTING,
        DRAIN
    }

    private enum ClientEnd {
        STAYS,
        SHUTS_OUTPUT,
        GOES
    }

    private record Upload(int bytes, boolean chunked, int sentBytes, ClientEnd end) {}

    private final LinkedBlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
    private final List<AutoCloseable> endpoints = new ArrayList<>();
    private SidecarFixture fixture;
    private int requestCounter;

    @AfterEach
    void stop() throws Exception {
        fixture.close();
        for (AutoCloseable endpoint : endpoints) {
            endpoint.close();
        }
    }

    private static List<Upload> uploads() {
        List<Upload> uploads = new ArrayList<>();
        for (int bytes : BODY_BYTES) {
            for (int sentBytes : new int[] {bytes, bytes / 2, 0}) {
                for (ClientEnd end : ClientEnd.values()) {
                    uploads.add(new Upload(bytes, false, sentBytes, end));
                    uploads.add(new Upload(bytes, true, sentBytes, end));
                }
            }
        }
        return uploads;
    }

    /** Guards against bodies that nobody releases, whose memory is missing for the requests of other clients. */
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void bodyIsReleasedHoweverItsRequestEnds(Trouble trouble) throws Exception {
        start(trouble);
        List<Thread> clients = new ArrayList<>();
        for (Upload upload : uploads()) {
            RawHttpClient client = fixture.client();
            client.socket.setSoTimeout(2 * DEADLINE_MS);
            String head = head(trouble, upload);
            Thread thread = new Thread(() -> upload(client, head, upload));
            thread.start();
            clients.add(thread);
        }
        Thread drain = new Thread(fixture.sidecar::drain);
        intervene(trouble, drain);
        for (Thread client : clients) {
            client.join();
        }
        fixture.assertNothingHeld();
    }

    private void start(Trouble trouble) throws IOException {
        switch (trouble) {
            case NO_ENDPOINT -> {
                fixture = new SidecarFixture(FakeEndpoint.listeningOnly());
                fixture.known = List.of();
            }
            case CONNECTIONS_REFUSED -> {
                FakeEndpoint refusing = FakeEndpoint.listeningOnly();
                refusing.listener.close();
                fixture = new SidecarFixture(refusing);
            }
            case CONNECTIONS_ESTABLISHED_LATE, CONNECTIONS_NEVER_ESTABLISHED, DISABLED_WHILE_CONNECTING -> {
                DelayedAcceptEndpoint late = new DelayedAcceptEndpoint();
                endpoints.add(late);
                fixture = SidecarFixture.withEndpointAt(late.address());
                fixture.adminAddress = "127.0.0.1:0";
            }
            default -> {
                BodyReadingEndpoint reading = new BodyReadingEndpoint(received, 0);
                endpoints.add(reading);
                fixture = new SidecarFixture(reading.fakeEndpoint());
                if (trouble == Trouble.EARLY_RESPONSE) {
                    reading.earlyResponse = "HTTP/1.1 413 x\r\nContent-Length: 0\r\n\r\n";
                } else if (trouble == Trouble.ENDPOINT_STOPS_READING) {
                    reading.stopAfterBytes = 100 * KIB;
                }
            }
        }
        fixture.start();
    }

    private void intervene(Trouble trouble, Thread drain) throws Exception {
        if (trouble == Trouble.CONNECTIONS_ESTABLISHED_LATE) {
            Thread.sleep(STAY_MS);
            ((DelayedAcceptEndpoint) endpoints.get(0)).startAccepting();
        } else if (trouble == Trouble.DISABLED_WHILE_CONNECTING) {
            assertEquals(
                    200,
                    fixture.callAdminApi("POST /endpoints/disable", "{\"name\":\"s0\"}")
                            .status());
        } else if (trouble == Trouble.DRAIN) {
            drain.start();
        }
    }

    private String head(Trouble trouble, Upload upload) {
        String id = trouble == Trouble.SAME_ID_IN_FLIGHT ? "same" : "body" + requestCounter++;
        String framing = upload.chunked() ? "Transfer-Encoding: chunked" : "Content-Length: " + upload.bytes();
        return "POST /api HTTP/1.1\r\nX-Request-Id: " + id + "\r\nX-Class: "
                + (trouble == Trouble.UNKNOWN_CLASS ? "unknown" : "order") + "\r\nX-Deadline-Ms: " + DEADLINE_MS
                + "\r\nHost: x\r\n" + framing + "\r\n\r\n";
    }

    private static void upload(RawHttpClient client, String head, Upload upload) {
        try (client) {
            OutputStream out = client.socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            byte[] body = new byte[upload.bytes()];
            out.write(Arrays.copyOf(upload.chunked() ? LongBodies.chunked(body) : body, sentBytes(upload, body)));
            switch (upload.end()) {
                case STAYS -> stay(client, upload);
                case SHUTS_OUTPUT -> {
                    client.socket.shutdownOutput();
                    client.awaitClose();
                }
                default -> {}
            }
        } catch (IOException e) {
            // The sidecar has answered or closed the connection before it has read all.
            return;
        }
    }

    private static int sentBytes(Upload upload, byte[] body) throws IOException {
        boolean whole = upload.sentBytes() == upload.bytes();
        return whole && upload.chunked() ? LongBodies.chunked(body).length : upload.sentBytes();
    }

    private static void stay(RawHttpClient client, Upload upload) throws IOException {
        if (upload.sentBytes() < upload.bytes()) {
            client.socket.setSoTimeout(STAY_MS);
        }
        client.read();
    }
}
