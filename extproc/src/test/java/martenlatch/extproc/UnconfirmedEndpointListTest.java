package martenlatch.extproc;

import static martenlatch.frontend.extproc.ExtProcFixture.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenlatch.frontend.extproc.ExtProcFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests a processor that starts beside a local agent which does not answer. */
@Timeout(60)
class UnconfirmedEndpointListTest {

    private static final long TIMEOUT_MS = 20_000;

    @TempDir
    Path folder;

    private final CountDownLatch agentAnswers = new CountDownLatch(1);
    private final LinkedBlockingQueue<ProcessingResponse> decisions = new LinkedBlockingQueue<>();
    private ServerSocket agent;
    private ExtProcServer server;
    private ManagedChannel proxy;

    @AfterEach
    void stop() throws IOException {
        agentAnswers.countDown();
        proxy.shutdownNow();
        server.stop();
        agent.close();
    }

    /** Guards against decisions by the list of the configuration, of which the agent knows changes. */
    @Test
    void startDecidesNothingBeforeTheAgentAnswers() throws Exception {
        String other = ",{\"id\":\"s1\",\"addr\":\"10.0.0.1:2\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                + "\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";
        String first = "{\"id\":\"s0\",\"addr\":\"10.0.0.1:1\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,"
                + "\"state\":\"%s\",\"weight\":1.0,\"started_ms\":0}";
        startAgent("{\"version\":2,\"full\":true,\"servers\":[" + first.formatted("terminating") + other + "]}");
        start("{\"version\":1,\"full\":true,\"servers\":[" + first.formatted("in_service") + "]}");
        assertEquals(
                503, decide("r1").getImmediateResponse().getStatus().getCodeValue(), "rejected, as none was forwarded");
        agentAnswers.countDown();
        int requests = 1;
        ProcessingResponse decision = decide("r" + ++requests);
        while (decision.hasImmediateResponse()) {
            assertEquals(503, decision.getImmediateResponse().getStatus().getCodeValue());
            decision = decide("r" + ++requests);
        }
        assertTrue(decision.toString().contains("10.0.0.1:2"), decision.toString());
    }

    private void startAgent(String list) throws IOException {
        agent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        String response =
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
        Thread accepting = new Thread(() -> {
            while (!agent.isClosed()) {
                try {
                    Socket poll = agent.accept();
                    startThread(() -> answer(poll, response));
                } catch (IOException e) {
                    // The test has ended.
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void answer(Socket poll, String response) {
        try (poll) {
            agentAnswers.await();
            poll.getInputStream().read(new byte[4096]);
            poll.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        } catch (IOException | InterruptedException e) {
            // The processor has given up the poll.
        }
    }

    private void start(String known) throws IOException {
        Path site = Files.writeString(folder.resolve("config.json"), """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,
            "settings":{"azs":["a"],"models":["m"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
            "membership-mode":"pushed","classes":[
            {"name":"read","effect":"repeatable","group":"all","hard-limit-ms":3000,"slo-ms":3000,"worth":1}],
            "limits":{"cancel":true,"dial-timeout-ms":200,"idle-close-ms":15000,"max-retry-after-ms":2000,
            "try-limit":3},
            "rules":{"cold-share":0.3,"cold-ms":8000,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":500,
            "ask-within-ms":600000}}}""".formatted(agent.getLocalPort(), known));
        Path settingsFile = Files.writeString(
                folder.resolve("extproc.toml"),
                Files.readString(Path.of("../deploy/extproc.toml")).replace("127.0.0.1:9901", "127.0.0.1:0"));
        server = ExtProcServer.start(
                site, settingsFile, new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8));
        proxy = NettyChannelBuilder.forAddress(server.address()).usePlaintext().build();
    }

    private ProcessingResponse decide(String id) throws InterruptedException {
        send(id);
        return next();
    }

    private ProcessingResponse next() throws InterruptedException {
        ProcessingResponse next = decisions.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertNotNull(next, "no message arrived");
        return next;
    }

    private void send(String id) {
        StreamObserver<ProcessingRequest> out = ExternalProcessorGrpc.newStub(proxy)
                .process(new StreamObserver<>() {
                    @Override
                    public void onNext(ProcessingResponse response) {
                        decisions.add(response);
                    }

                    @Override
                    public void onError(Throwable cause) {
                        // The stream ends with the test.
                    }

                    @Override
                    public void onCompleted() {
                        // An immediate response completes its stream.
                    }
                });
        out.onNext(ExtProcFixture.request(ExtProcFixture.headers(id, READ, 1)));
    }
}
