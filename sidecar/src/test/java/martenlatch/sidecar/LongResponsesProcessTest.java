package martenlatch.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;
import martenlatch.sidecar.WaitingClient.Conduct;
import martenlatch.sidecar.WaitingClient.End;
import martenlatch.sidecar.WaitingClient.Observation;
import martenlatch.sidecar.WaitingClient.Request;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a sidecar process learns from long responses that go on at a sound rate after their time. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class LongResponsesProcessTest {

    private static final int ENDPOINTS = 40;
    private static final int ROUNDS = 4;
    private static final int TIME_MS = 1000;
    private static final List<EndpointAnswer> ANSWERS = List.of(
            EndpointAnswer.FLOWS_70_KBPS_1_S_AFTER,
            EndpointAnswer.FLOWS_1_MBPS_1_S_AFTER,
            EndpointAnswer.LUMPS_200_MS_1_S_AFTER,
            EndpointAnswer.LUMPS_800_MS_3_S_AFTER);
    private static final Pattern EJECTIONS = Pattern.compile("[1-9][0-9]* endpoint ejections");

    /** Guards against sound endpoints that are ejected for long responses, so that later requests are rejected. */
    @Test
    void soundEndpointsOfLongResponsesAreNotEjected() throws Exception {
        TableEndpoints endpoints = new TableEndpoints();
        SidecarFixture fixture = endpoints.fixture(ENDPOINTS);
        fixture.classDeadlineMs = TIME_MS;
        fixture.discovery.script = SidecarFixture::answerPollWithoutChanges;
        List<String> notServed = new CopyOnWriteArrayList<>();
        try (SidecarProcess process = SidecarProcess.start(fixture)) {
            for (int round = 0; round < ROUNDS; round++) {
                play(process, round, notServed);
            }
            assertEquals(List.of(), notServed, process.log());
            assertFalse(EJECTIONS.matcher(process.log()).find(), process.log());
        } finally {
            fixture.close();
        }
    }

    /** Sends one request for each answer in each framing at the same time, and waits for all answers. */
    private static void play(SidecarProcess process, int round, List<String> notServed) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (EndpointAnswer answer : ANSWERS) {
            for (EndpointAnswer.Framing framing : EndpointAnswer.Framing.values()) {
                String requestClass = threads.size() % 2 == 0 ? "order" : "read";
                String id = "l" + round + "-" + threads.size();
                Request request = new Request(id, requestClass, answer, framing, TIME_MS);
                WaitingClient client = new WaitingClient(process.address(), Conduct.STAYS, request);
                Thread thread = new Thread(() -> run(client, notServed), "client");
                thread.start();
                threads.add(thread);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static void run(WaitingClient client, List<String> notServed) {
        try {
            Observation seen = client.run().get(0);
            if (seen.end() != End.WHOLE || seen.status() != 200) {
                notServed.add(client.request() + ": " + seen.end() + ", status " + seen.status());
            }
        } catch (Exception e) {
            notServed.add(client.request() + ": " + e);
        }
    }
}
