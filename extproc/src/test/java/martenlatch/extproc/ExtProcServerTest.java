package martenlatch.extproc;

import static martenlatch.frontend.extproc.ExtProcFixture.ORDER;
import static martenlatch.frontend.extproc.ExtProcFixture.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.envoyproxy.envoy.config.core.v3.HeaderValueOption;
import io.envoyproxy.envoy.service.ext_proc.v3.ExternalProcessorGrpc;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingRequest;
import io.envoyproxy.envoy.service.ext_proc.v3.ProcessingResponse;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import martenlatch.config.SocketAddresses;
import martenlatch.frontend.extproc.ExtProcFixture;
import martenlatch.net.EventLoopScheduler;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.world.StandInProxy;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the whole external processor on loopback sockets against faulty proxies. */
@Timeout(60)
class ExtProcServerTest {

    private static final long TIMEOUT_MS = 20_000;

    @TempDir
    Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<ManagedChannel> proxies = new ArrayList<>();
    private final List<AutoCloseable> resources = new ArrayList<>();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServerSocket discovery;
    private ExtProcServer server;

    @BeforeEach
    void start() throws IOException {
        discovery = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        start(entry(0, "10.0.0.1:1", "in_service", 0), entry(1, "10.0.0.1:2", "in_service", 0));
    }

    private static String entry(int number, String address, String state, long startedMs) {
        return "{\"id\":\"s" + number + "\",\"addr\":\"" + address
                + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":" + number
                + ",\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":" + startedMs + "}";
    }

    private void start(String... entries) throws IOException {
        Path site = Files.writeString(
                folder.resolve("config.json"), """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
            "known":{"version":1,"full":true,"servers":[%s]},
            "settings":{"azs":["a"],"models":["m"],"replicas-of-me":1,"slot-no":0,"tier":0,"zone":0,
            "membership-mode":"on_request","classes":[
            {"name":"read","effect":"repeatable","group":"all","hard-limit-ms":3000,"slo-ms":3000,"worth":1},
            {"name":"order","effect":"once","group":"all","hard-limit-ms":3000,"slo-ms":3000,"worth":1}],
            "limits":{"cancel":true,"dial-timeout-ms":200,"idle-close-ms":15000,"max-retry-after-ms":2000,
            "try-limit":3},
            "rules":{"cold-share":0.3,"cold-ms":8000,"tip-multiple":3,"fall-ms":1000,"drain-grace-ms":500,
            "ask-within-ms":600000}}}""".formatted(discovery.getLocalPort(), String.join(",", entries)));
        Path settingsFile = Files.writeString(
                folder.resolve("extproc.toml"),
                Files.readString(Path.of("../deploy/extproc.toml")).replace("127.0.0.1:9901", "127.0.0.1:0"));
        server = ExtProcServer.start(site, settingsFile, new PrintStream(log, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable resource : resources) {
            resource.close();
        }
        proxies.forEach(ManagedChannel::shutdownNow);
        server.stop();
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    private int openStreams() {
        return server.loop()
                .submit(server.processor()::openStreams)
                .syncUninterruptibly()
                .getNow();
    }

    private int pendingRequests() {
        return server.loop()
                .submit(server.processor()::pendingRequests)
                .syncUninterruptibly()
                .getNow();
    }

    /** Opens a proxy's connection. */
    private ManagedChannel proxy() {
        proxies.add(
                NettyChannelBuilder.forAddress(server.address()).usePlaintext().build());
        return proxies.get(proxies.size() - 1);
    }

    /** The proxy's side of a stream. */
    private static final class Peer implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final LinkedBlockingQueue<Object> events = new LinkedBlockingQueue<>();
        private ClientCallStreamObserver<ProcessingRequest> out;

        static Peer open(ManagedChannel proxy) {
            Peer peer = new Peer();
            ExternalProcessorGrpc.newStub(proxy).process(peer);
            return peer;
        }

        Peer sendRequest(String id, RequestClass requestClass, int attempt) {
            out.onNext(ExtProcFixture.request(ExtProcFixture.headers(id, requestClass, attempt)));
            return this;
        }

        Peer send(ProcessingRequest message) {
            out.onNext(message);
            return this;
        }

        void cancel() {
            out.cancel("cancelled by the test", null);
        }

        private Object next() throws InterruptedException {
            Object next = events.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
            assertNotNull(next, "no message arrived");
            return next;
        }

        /**
         * Returns the next event: a decision's endpoint, an immediate response's status, a message type or a gRPC
         * status.
         */
        String nextEvent() throws InterruptedException {
            Object next = next();
            if (next instanceof Status status) {
                return status.getCode().name();
            }
            ProcessingResponse message = (ProcessingResponse) next;
            if (message.hasImmediateResponse()) {
                return "status " + message.getImmediateResponse().getStatus().getCodeValue();
            }
            for (HeaderValueOption option : message.getRequestHeaders()
                    .getResponse()
                    .getHeaderMutation()
                    .getSetHeadersList()) {
                if (option.getHeader().getKey().equals("x-gateway-destination-endpoint")) {
                    return option.getHeader().getRawValue().toStringUtf8();
                }
            }
            return message.getResponseCase().name();
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ProcessingRequest> stream) {
            out = stream;
        }

        @Override
        public void onNext(ProcessingResponse message) {
            events.add(message);
        }

        @Override
        public void onError(Throwable cause) {
            events.add(Status.fromThrowable(cause));
        }

        @Override
        public void onCompleted() {
            events.add(Status.OK);
        }
    }

    private void assertServes(String id) throws InterruptedException {
        Peer good = Peer.open(proxy()).sendRequest(id, ORDER, 1);
        assertTrue(good.nextEvent().startsWith("10.0.0.1:"));
        good.send(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", good.nextEvent());
        assertEquals("OK", good.nextEvent());
    }

    // ---- hard cases 1 to 3 ----

    @Test
    void concurrentStreamsOfTwoProxiesGetOneDecision() throws Exception {
        String first = Peer.open(proxy()).sendRequest("r", ORDER, 1).nextEvent();
        String second = Peer.open(proxy()).sendRequest("r", ORDER, 1).nextEvent();
        assertTrue(first.startsWith("10.0.0.1:"), first);
        assertEquals("status 409", second);
    }

    /** The decision is sent just before the proxy's time-out. */
    @Test
    void decisionDiscardedByTheProxyIsNotRepeated() throws Exception {
        ManagedChannel proxy = proxy();
        Peer late = Peer.open(proxy).sendRequest("r", ORDER, 1);
        assertTrue(late.nextEvent().startsWith("10.0.0.1:"));
        late.cancel();
        await("the cancellation has arrived", () -> openStreams() == 0);
        assertEquals("status 500", Peer.open(proxy).sendRequest("r", ORDER, 2).nextEvent());
    }

    /** The decision would be sent just after the proxy's time-out, because the processor pauses until then. */
    @Test
    void requestCancelledDuringAPauseIsServedWhenRetried() throws Exception {
        ManagedChannel proxy = proxy();
        // Establishes the connection.
        Peer.open(proxy).sendRequest("warm", READ, 1).nextEvent();
        CountDownLatch pause = new CountDownLatch(1);
        server.loop().execute(() -> awaitQuietly(pause));
        Peer late = Peer.open(proxy).sendRequest("r", ORDER, 0);
        // Usually lets the request be sent; otherwise the cancellation discards it, and the result is the same.
        Thread.sleep(50);
        late.cancel();
        Peer again = Peer.open(proxy).sendRequest("r", ORDER, 0);
        assertEquals("CANCELLED", late.nextEvent());
        Thread.sleep(50);
        pause.countDown();
        assertTrue(again.nextEvent().startsWith("10.0.0.1:"));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void lostProxyConnectionLeavesNoState() throws Exception {
        ManagedChannel proxy = proxy();
        for (int i = 0; i < 4; i++) {
            Peer.open(proxy).sendRequest("r" + i, ORDER, 1).nextEvent();
        }
        proxy.shutdownNow();
        await("all streams have ended", () -> openStreams() == 0);
        await("no request is pending", () -> pendingRequests() == 0);
        assertServes("after");
    }

    // ---- hard cases 5 and 6: a slow proxy and a cold endpoint, with endpoints that count executions ----

    /** An endpoint that counts the requests that it receives per id and records when each arrived. */
    private final class CountingEndpoint {
        private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
        private final ConcurrentLinkedQueue<Long> arrivalNanos = new ConcurrentLinkedQueue<>();

        CountingEndpoint() throws IOException {
            resources.add(listener);
            Thread thread = new Thread(this::accept, "endpoint");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = listener.accept();
                    Thread thread = new Thread(() -> serve(socket), "endpoint connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                StringBuilder head = new StringBuilder();
                for (int b = socket.getInputStream().read();
                        b >= 0;
                        b = socket.getInputStream().read()) {
                    head.append((char) b);
                    if (head.indexOf("\r\n\r\n") > 0) {
                        break;
                    }
                }
                arrivalNanos.add(System.nanoTime());
                String id = head.toString().replaceAll("(?is).*x-request-id: ([^\r]*).*", "$1");
                executions.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            } catch (IOException e) {
                return;
            }
        }

        int executions(String id) {
            return executions.getOrDefault(id, new AtomicInteger()).get();
        }
    }

    private InetSocketAddress startProxy(
            StandInProxy.ProcessorFailureMode failureMode, String fallback, StandInProxy.Behavior behavior) {
        EventLoop loop = (EventLoop) group.next();
        StandInProxy proxy = new StandInProxy(
                loop,
                new EventLoopScheduler(loop),
                server.address(),
                new StandInProxy.Options(
                        100,
                        250,
                        3,
                        failureMode,
                        fallback == null ? null : SocketAddresses.parse("fallback", fallback)),
                behavior);
        resources.add(proxy::close);
        return (InetSocketAddress) proxy.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    private static int post(InetSocketAddress to, String id, String requestClass) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout((int) TIMEOUT_MS);
            socket.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + requestClass
                                    + "\r\nX-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] line = socket.getInputStream().readNBytes(12);
            return Integer.parseInt(new String(line, StandardCharsets.US_ASCII).substring(9, 12));
        }
    }

    private void restart(String... entries) throws IOException {
        server.stop();
        start(entries);
    }

    @Test
    void proxySendsRequestToTheDecidedEndpoint() throws Exception {
        CountingEndpoint endpoint = new CountingEndpoint();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress proxy =
                startProxy(StandInProxy.ProcessorFailureMode.FAIL, null, StandInProxy.Behavior.CORRECT);
        assertEquals(200, post(proxy, "r", "order"));
        assertEquals(1, endpoint.executions("r"));
        assertEquals(400, post(proxy, "q", "nonsense"));
        await("no state is left", () -> openStreams() == 0 && pendingRequests() == 0);
    }

    /** The connect time-out counts from the decision, so a slow proxy gives up instead of sending late. */
    @Test
    void decisionIsNotCarriedOutAfterTheConnectTimeOut() throws Exception {
        CountingEndpoint endpoint = new CountingEndpoint();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress slow = startProxy(StandInProxy.ProcessorFailureMode.FAIL, null, new StandInProxy.Behavior() {
            @Override
            public double sendDelayMs(String id, int attempt) {
                return id.equals("slow") ? 600 : 100;
            }
        });
        assertEquals(503, post(slow, "slow", "order"));
        assertEquals(0, endpoint.executions("slow"));
        assertEquals(200, post(slow, "less", "order"));
    }

    /** Eight clients use a proxy that delays its sends while one of two endpoints drains. */
    @Test
    void drainingEndpointReceivesNothingAfterTheGracePeriod() throws Exception {
        CountingEndpoint leaving = new CountingEndpoint();
        CountingEndpoint staying = new CountingEndpoint();
        restart(entry(0, leaving.address(), "in_service", 0), entry(1, staying.address(), "in_service", 0));
        InetSocketAddress proxy = startProxy(StandInProxy.ProcessorFailureMode.FAIL, null, new StandInProxy.Behavior() {
            @Override
            public double sendDelayMs(String id, int attempt) {
                return 150;
            }
        });
        ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String name = "c" + i + "-";
            clients.add(new Thread(() -> {
                for (int n = 0; n < 12; n++) {
                    try {
                        int status = post(proxy, name + n, "order");
                        int executions = leaving.executions(name + n) + staying.executions(name + n);
                        // The concurrency limit is low at first: some requests are rejected, and those must not
                        // execute.
                        if (status == 200 ? executions != 1 : status != 503 || executions != 0) {
                            violations.add(name + n + ": " + status + ", executed " + executions + " times");
                        }
                    } catch (IOException e) {
                        violations.add(name + n + ": " + e);
                    }
                }
            }));
        }
        clients.forEach(Thread::start);
        await("the endpoint has received requests", () -> leaving.arrivalNanos.size() >= 5);
        EndpointList drain = new EndpointList(
                2,
                false,
                List.of(new EndpointList.Entry(
                        new Endpoint("s0", 0, 0, 0, 0, EndpointStatus.DRAINING, 1),
                        SocketAddresses.parse("leaving", leaving.address()))));
        server.loop()
                .submit(() -> server.requestTracker().onEndpointList(drain))
                .syncUninterruptibly();
        long drainedNanos = System.nanoTime();
        for (Thread client : clients) {
            client.join(TIMEOUT_MS);
        }
        assertEquals(List.of(), List.copyOf(violations));
        long late = leaving.arrivalNanos.stream()
                .filter(at -> at - drainedNanos > 500_000_000L)
                .count();
        assertEquals(0, late, "requests later than 500 ms after the drain was published");
        assertTrue(
                staying.arrivalNanos.stream().anyMatch(at -> at - drainedNanos > 500_000_000L),
                "the other endpoint still receives requests");
    }

    /** Guards against double execution when the processor pauses for longer than a proxy waits for it. */
    @Test
    void proxyThatBypassesOrAsksAgainExecutesNothingTwice() throws Exception {
        CountingEndpoint endpoint = new CountingEndpoint();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress retrying =
                startProxy(StandInProxy.ProcessorFailureMode.ASK_AGAIN, null, StandInProxy.Behavior.CORRECT);
        InetSocketAddress bypassing =
                startProxy(StandInProxy.ProcessorFailureMode.BYPASS, endpoint.address(), StandInProxy.Behavior.CORRECT);
        assertEquals(200, post(retrying, "warm1", "order"));
        assertEquals(200, post(bypassing, "warm2", "order"));
        int served = 0;
        for (int round = 0; round < 5; round++) {
            CountDownLatch pause = new CountDownLatch(1);
            server.loop().execute(() -> awaitQuietly(pause));
            Thread resume = new Thread(() -> {
                try {
                    Thread.sleep(150);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
                pause.countDown();
            });
            resume.start();
            served += post(retrying, "a" + round, "order") == 200 ? 1 : 0;
            resume.join();
            served += post(bypassing, "g" + round, "order") == 200 ? 1 : 0;
            assertTrue(endpoint.executions("a" + round) <= 1, "executed more than once after asking again");
            assertTrue(endpoint.executions("g" + round) <= 1, "executed more than once after bypassing the processor");
        }
        assertTrue(served > 0);
    }

    @Test
    void duplicateStreamsExecuteARequestOnce() throws Exception {
        CountingEndpoint endpoint = new CountingEndpoint();
        restart(entry(0, endpoint.address(), "in_service", 0));
        LinkedBlockingQueue<Integer> secondResults = new LinkedBlockingQueue<>();
        InetSocketAddress duplicating =
                startProxy(StandInProxy.ProcessorFailureMode.FAIL, null, new StandInProxy.Behavior() {
                    @Override
                    public boolean opensSecondStream(String id, int attempt) {
                        return true;
                    }

                    @Override
                    public void onSecondResult(String id, int status) {
                        secondResults.add(status);
                    }
                });
        int status = post(duplicating, "r", "order");
        int other = secondResults.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertTrue(status == 200 && other == 409 || status == 409 && other == 0, status + " and " + other);
        assertEquals(status == 200 ? 1 : 0, endpoint.executions("r"));
    }

    @Test
    void requestIsNotDecidedAgainAfterItsStreamWasCancelled() throws Exception {
        CountingEndpoint endpoint = new CountingEndpoint();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress cancelling =
                startProxy(StandInProxy.ProcessorFailureMode.FAIL, null, new StandInProxy.Behavior() {
                    @Override
                    public boolean cancelsStream(String id, int attempt) {
                        return true;
                    }
                });
        assertEquals(200, post(cancelling, "r", "order"), "the proxy proceeded without the processor");
        assertEquals("status 500", Peer.open(proxy()).sendRequest("r", ORDER, 2).nextEvent());
        assertEquals(1, endpoint.executions("r"));
    }

    @Test
    void coldEndpointIsProtectedAcrossAllProxies() throws Exception {
        restart(
                entry(0, "10.0.0.1:1", "in_service", 0),
                entry(1, "10.0.0.1:2", "in_service", 0),
                entry(2, "10.0.0.1:3", "in_service", System.currentTimeMillis()));
        int cold = 0;
        for (int i = 0; i < 9; i++) {
            cold += Peer.open(proxy()).sendRequest("r" + i, READ, 1).nextEvent().endsWith(":3") ? 1 : 0;
        }
        assertTrue(cold <= 1, cold + " of 9 proxies' concurrent requests went to the cold endpoint");
    }

    // ---- hard case 7 ----

    @Test
    void openStreamsAreFinishedDuringADrain() throws Exception {
        Peer open = Peer.open(proxy()).sendRequest("r", ORDER, 1);
        open.nextEvent();
        ManagedChannel later = proxy();
        Thread drain = new Thread(server::drain);
        drain.start();
        await(
                "the drain has started",
                () -> log.toString(StandardCharsets.UTF_8).contains("draining"));
        open.send(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", open.nextEvent());
        drain.join(TIMEOUT_MS);
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("martenlatch: drained"), log.toString());
        assertEquals("UNAVAILABLE", Peer.open(later).sendRequest("s", ORDER, 1).nextEvent());
    }

    @Test
    void reloadMovesDiscoveryAndDisturbsNoStream() throws Exception {
        Peer open = Peer.open(proxy()).sendRequest("r", ORDER, 1);
        open.nextEvent();
        Path site = folder.resolve("config.json");
        try (ServerSocket next = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            next.setSoTimeout((int) TIMEOUT_MS);
            Files.writeString(
                    site,
                    Files.readString(site)
                            .replace("127.0.0.1:" + discovery.getLocalPort(), "127.0.0.1:" + next.getLocalPort()));
            server.reload();
            next.accept().close();
        }
        open.send(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", open.nextEvent());
        Files.writeString(site, "{");
        server.reload();
        await(
                "the failed reload is logged",
                () -> log.toString(StandardCharsets.UTF_8).contains("configuration not reloaded"));
    }

    // ---- hard case 8 ----

    @Test
    void invalidHttp2DisturbsNoOtherConnection() throws Exception {
        for (String garbage : List.of(
                "GET / HTTP/1.1\r\n\r\n",
                "\0".repeat(24),
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\377\377\377\377\377\377\377\377\377")) {
            try (Socket socket =
                    new Socket(server.address().getAddress(), server.address().getPort())) {
                socket.setSoTimeout((int) TIMEOUT_MS);
                socket.getOutputStream().write(garbage.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            } catch (java.net.SocketException e) {
                // A reset also closes the connection.
                continue;
            }
        }
        assertServes("r");
        assertEquals(0, openStreams());
    }

    @Test
    void oversizedMessageEndsOnlyItsStream() throws Exception {
        ManagedChannel proxy = proxy();
        Peer other = Peer.open(proxy).sendRequest("other", ORDER, 1);
        assertTrue(other.nextEvent().startsWith("10.0.0.1:"));
        assertEquals(
                "RESOURCE_EXHAUSTED",
                Peer.open(proxy)
                        .send(ExtProcFixture.request(ExtProcFixture.headers("r", ORDER, 1)
                                .addHeaders(ExtProcFixture.value("x-long", "x".repeat(64 * 1024)))))
                        .nextEvent());
        other.send(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", other.nextEvent());
        await("no state is left", () -> openStreams() == 0 && pendingRequests() == 0);
    }

    @Test
    void silentStreamIsEnded() throws Exception {
        assertEquals("DEADLINE_EXCEEDED", Peer.open(proxy()).nextEvent());
        assertEquals(0, openStreams());
    }
}
