package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests an upload that its client writes in large parts, on a sidecar process. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UploadInPartsTest {

    private static final int TIME_MS = 1000;
    private static final int SIZE = 5_400_000;
    private static final int PART_BYTES = 360_000;
    private static final int PART_INTERVAL_MS = 400;
    /** Somewhat slower than the client: the endpoint has read all 0.8 s after the client's last part. */
    private static final int READ_BYTES_PER_MS = 850;

    private static final int ENDPOINT_BUFFER_BYTES = 32 * 1024;

    /** Guards against the time of a client that still writes, as reading pauses again and again. */
    @Test
    void uploadThatItsEndpointReadsInTimeIsServed() throws Exception {
        FakeEndpoint endpoint = FakeEndpoint.serving();
        endpoint.listener.setReceiveBufferSize(ENDPOINT_BUFFER_BYTES);
        SidecarFixture fixture = new SidecarFixture(endpoint);
        fixture.classDeadlineMs = TIME_MS;
        fixture.latencyObjectiveMs = TIME_MS;
        fixture.discovery.script = SidecarFixture::answerPollWithoutChanges;
        try (SidecarProcess process = SidecarProcess.start(fixture);
                RawHttpClient client = RawHttpClient.connect(process.address())) {
            client.send("POST /api HTTP/1.1\r\nHost: a\r\nX-Request-Id: u1\r\nX-Class: order\r\nX-Deadline-Ms: "
                    + TIME_MS
                    + "\r\n" + FakeEndpoint.READ_RATE_HEADER + ": " + READ_BYTES_PER_MS + "\r\nContent-Length: " + SIZE
                    + "\r\n\r\n");
            for (int offset = 0; offset < SIZE; offset += PART_BYTES) {
                client.socket.getOutputStream().write(new byte[Math.min(PART_BYTES, SIZE - offset)]);
                TimeUnit.MILLISECONDS.sleep(PART_INTERVAL_MS);
            }
            assertEquals(200, client.read().status(), process.log());
        } finally {
            fixture.close();
        }
    }
}
