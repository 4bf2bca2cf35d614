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

/** The whole external processor on loopback sockets, before peers that misbehave. */
@Timeout(60)
class ExtProcServerTest {

    private static final long PATIENCE_MS = 20_000;

    @TempDir
    Path folder;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
    private final List<ManagedChannel> proxies = new ArrayList<>();
    private final List<AutoCloseable> closing = new ArrayList<>();
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
        Path own = Files.writeString(
                folder.resolve("extproc.toml"),
                Files.readString(Path.of("../deploy/extproc.toml")).replace("127.0.0.1:9901", "127.0.0.1:0"));
        server = ExtProcServer.start(site, own, new PrintStream(log, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable one : closing) {
            one.close();
        }
        proxies.forEach(ManagedChannel::shutdownNow);
        server.stop();
        discovery.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    private int streams() {
        return server.loop()
                .submit(server.processor()::openStreams)
                .syncUninterruptibly()
                .getNow();
    }

    private int calls() {
        return server.loop()
                .submit(server.processor()::pendingRequests)
                .syncUninterruptibly()
                .getNow();
    }

    /** A proxy's connection. */
    private ManagedChannel proxy() {
        proxies.add(
                NettyChannelBuilder.forAddress(server.address()).usePlaintext().build());
        return proxies.get(proxies.size() - 1);
    }

    /** One stream, as a proxy has it. */
    private static final class Peer implements ClientResponseObserver<ProcessingRequest, ProcessingResponse> {
        private final LinkedBlockingQueue<Object> heard = new LinkedBlockingQueue<>();
        private ClientCallStreamObserver<ProcessingRequest> out;

        static Peer open(ManagedChannel proxy) {
            Peer peer = new Peer();
            ExternalProcessorGrpc.newStub(proxy).process(peer);
            return peer;
        }

        Peer ask(String id, RequestClass kind, int attempt) {
            out.onNext(ExtProcFixture.request(ExtProcFixture.heads(id, kind, attempt)));
            return this;
        }

        Peer say(ProcessingRequest message) {
            out.onNext(message);
            return this;
        }

        void breakOff() {
            out.cancel("enough", null);
        }

        private Object next() throws InterruptedException {
            Object next = heard.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
            assertNotNull(next, "nothing was heard");
            return next;
        }

        /** The endpoint of the decision that comes next, or "status" and the immediate response's. */
        String told() throws InterruptedException {
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
            heard.add(message);
        }

        @Override
        public void onError(Throwable cause) {
            heard.add(Status.fromThrowable(cause));
        }

        @Override
        public void onCompleted() {
            heard.add(Status.OK);
        }
    }

    private void assertServes(String id) throws InterruptedException {
        Peer good = Peer.open(proxy()).ask(id, ORDER, 1);
        assertTrue(good.told().startsWith("10.0.0.1:"));
        good.say(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", good.told());
        assertEquals("OK", good.told());
    }

    // ---- hard cases 1 to 3 ----

    @Test
    void twoProxiesThatAskForOneRequestGetOneDecision() throws Exception {
        String first = Peer.open(proxy()).ask("r", ORDER, 1).told();
        String second = Peer.open(proxy()).ask("r", ORDER, 1).told();
        assertTrue(first.startsWith("10.0.0.1:"), first);
        assertEquals("status 409", second);
    }

    /** The answer is written just before the proxy's time-out. */
    @Test
    void aDecisionThatTheProxyHasThrownAwayIsNotGivenTwice() throws Exception {
        ManagedChannel proxy = proxy();
        Peer late = Peer.open(proxy).ask("r", ORDER, 1);
        assertTrue(late.told().startsWith("10.0.0.1:"));
        late.breakOff();
        await("the break has arrived", () -> streams() == 0);
        assertEquals("status 500", Peer.open(proxy).ask("r", ORDER, 2).told());
    }

    /** The answer would be written just after it: the pause of ours is over when all of this has arrived. */
    @Test
    void whatAProxyGaveUpDuringAPauseOfOursIsServedWhenItComesBack() throws Exception {
        ManagedChannel proxy = proxy();
        // The connection stands, and its first stream has shown it.
        Peer.open(proxy).ask("warm", READ, 1).told();
        CountDownLatch pause = new CountDownLatch(1);
        server.loop().execute(() -> awaitQuietly(pause));
        Peer late = Peer.open(proxy).ask("r", ORDER, 0);
        // Long enough for its message to be on its way; where it is not, the break takes it back.
        Thread.sleep(50);
        late.breakOff();
        Peer again = Peer.open(proxy).ask("r", ORDER, 0);
        assertEquals("CANCELLED", late.told());
        Thread.sleep(50);
        pause.countDown();
        assertTrue(again.told().startsWith("10.0.0.1:"));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void aProxysConnectionThatDiesLeavesNothing() throws Exception {
        ManagedChannel proxy = proxy();
        for (int i = 0; i < 4; i++) {
            Peer.open(proxy).ask("r" + i, ORDER, 1).told();
        }
        proxy.shutdownNow();
        await("all streams are over", () -> streams() == 0);
        await("no call is held", () -> calls() == 0);
        assertServes("after");
    }

    // ---- hard cases 5 and 6: a slow proxy, a cold endpoint, with endpoints that count ----

    /** An endpoint that counts what it is sent, by id, and when. */
    private final class Counting {
        private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
        private final ConcurrentLinkedQueue<Long> at = new ConcurrentLinkedQueue<>();

        Counting() throws IOException {
            closing.add(listener);
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
                at.add(System.nanoTime());
                String id = head.toString().replaceAll("(?is).*x-request-id: ([^\r]*).*", "$1");
                runs.computeIfAbsent(id, k -> new AtomicInteger()).incrementAndGet();
                OutputStream out = socket.getOutputStream();
                out.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            } catch (IOException e) {
                return;
            }
        }

        int runs(String id) {
            return runs.getOrDefault(id, new AtomicInteger()).get();
        }
    }

    private InetSocketAddress standIn(StandInProxy.WhenAway whenAway, String fallback, StandInProxy.Conduct conduct) {
        EventLoop loop = (EventLoop) group.next();
        StandInProxy proxy = new StandInProxy(
                loop,
                new EventLoopScheduler(loop),
                server.address(),
                new StandInProxy.Options(
                        100, 250, 3, whenAway, fallback == null ? null : SocketAddresses.parse("fallback", fallback)),
                conduct);
        closing.add(proxy::close);
        return (InetSocketAddress) proxy.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    private static int post(InetSocketAddress to, String id, String kind) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout((int) PATIENCE_MS);
            socket.getOutputStream()
                    .write(("POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\nX-Class: " + kind
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
    void aStandInProxyCarriesADecisionOut() throws Exception {
        Counting endpoint = new Counting();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress proxy = standIn(StandInProxy.WhenAway.FAIL, null, StandInProxy.Conduct.GOOD);
        assertEquals(200, post(proxy, "r", "order"));
        assertEquals(1, endpoint.runs("r"));
        assertEquals(400, post(proxy, "q", "nonsense"));
        await("nothing is held", () -> streams() == 0 && calls() == 0);
    }

    /** The connect's limit counts from the decision, so a slow proxy gives up rather than send late. */
    @Test
    void aDecisionIsNeverCarriedOutLaterThanTheProxysLimits() throws Exception {
        Counting endpoint = new Counting();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress slow = standIn(StandInProxy.WhenAway.FAIL, null, new StandInProxy.Conduct() {
            @Override
            public double slownessMs(String id, int attempt) {
                return id.equals("slow") ? 600 : 100;
            }
        });
        assertEquals(503, post(slow, "slow", "order"));
        assertEquals(0, endpoint.runs("slow"));
        assertEquals(200, post(slow, "less", "order"));
    }

    /** Eight clients, a proxy that is slow to send, and an endpoint that counts what reaches it and when. */
    @Test
    void nothingNewReachesADrainingEndpointAfterTheGrace() throws Exception {
        Counting leaving = new Counting();
        Counting staying = new Counting();
        restart(entry(0, leaving.address(), "in_service", 0), entry(1, staying.address(), "in_service", 0));
        InetSocketAddress proxy = standIn(StandInProxy.WhenAway.FAIL, null, new StandInProxy.Conduct() {
            @Override
            public double slownessMs(String id, int attempt) {
                return 150;
            }
        });
        ConcurrentLinkedQueue<String> wrong = new ConcurrentLinkedQueue<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String name = "c" + i + "-";
            clients.add(new Thread(() -> {
                for (int n = 0; n < 12; n++) {
                    try {
                        int status = post(proxy, name + n, "order");
                        int runs = leaving.runs(name + n) + staying.runs(name + n);
                        // At the first calls the limit is low: some are refused, and those have not run.
                        if (status == 200 ? runs != 1 : status != 503 || runs != 0) {
                            wrong.add(name + n + ": " + status + ", ran " + runs + " times");
                        }
                    } catch (IOException e) {
                        wrong.add(name + n + ": " + e);
                    }
                }
            }));
        }
        clients.forEach(Thread::start);
        await("the endpoint has work", () -> leaving.at.size() >= 5);
        EndpointList drain = new EndpointList(
                2,
                false,
                List.of(new EndpointList.Entry(
                        new Endpoint("s0", 0, 0, 0, 0, EndpointStatus.DRAINING, 1),
                        SocketAddresses.parse("leaving", leaving.address()))));
        server.loop()
                .submit(() -> server.requestTracker().onEndpointList(drain))
                .syncUninterruptibly();
        long told = System.nanoTime();
        for (Thread client : clients) {
            client.join(PATIENCE_MS);
        }
        assertEquals(List.of(), List.copyOf(wrong));
        long late = leaving.at.stream().filter(at -> at - told > 500_000_000L).count();
        assertEquals(0, late, "calls later than 500 ms after it was told");
        assertTrue(staying.at.stream().anyMatch(at -> at - told > 500_000_000L), "the other one went on");
    }

    /** Whatever a proxy does when we pause for longer than it waits: no unsafe request runs twice. */
    @Test
    void aProxyThatGoesOnOrAsksAgainRunsNothingTwice() throws Exception {
        Counting endpoint = new Counting();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress again = standIn(StandInProxy.WhenAway.ASK_AGAIN, null, StandInProxy.Conduct.GOOD);
        InetSocketAddress goesOn = standIn(StandInProxy.WhenAway.GO_ON, endpoint.address(), StandInProxy.Conduct.GOOD);
        assertEquals(200, post(again, "warm1", "order"));
        assertEquals(200, post(goesOn, "warm2", "order"));
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
            served += post(again, "a" + round, "order") == 200 ? 1 : 0;
            resume.join();
            served += post(goesOn, "g" + round, "order") == 200 ? 1 : 0;
            assertTrue(endpoint.runs("a" + round) <= 1, "asked again");
            assertTrue(endpoint.runs("g" + round) <= 1, "went on");
        }
        assertTrue(served > 0);
    }

    @Test
    void aProxyThatAsksTwiceAtOnceRunsItOnce() throws Exception {
        Counting endpoint = new Counting();
        restart(entry(0, endpoint.address(), "in_service", 0));
        LinkedBlockingQueue<Integer> told = new LinkedBlockingQueue<>();
        InetSocketAddress twice = standIn(StandInProxy.WhenAway.FAIL, null, new StandInProxy.Conduct() {
            @Override
            public boolean asksTwice(String id, int attempt) {
                return true;
            }

            @Override
            public void toldTwice(String id, int status) {
                told.add(status);
            }
        });
        int status = post(twice, "r", "order");
        int other = told.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertTrue(status == 200 && other == 409 || status == 409 && other == 0, status + " and " + other);
        assertEquals(status == 200 ? 1 : 0, endpoint.runs("r"));
    }

    @Test
    void aStreamBrokenOffAfterItsDecisionIsNotDecidedAgain() throws Exception {
        Counting endpoint = new Counting();
        restart(entry(0, endpoint.address(), "in_service", 0));
        InetSocketAddress breaks = standIn(StandInProxy.WhenAway.FAIL, null, new StandInProxy.Conduct() {
            @Override
            public boolean breaksOff(String id, int attempt) {
                return true;
            }
        });
        assertEquals(200, post(breaks, "r", "order"), "it went on without us");
        assertEquals("status 500", Peer.open(proxy()).ask("r", ORDER, 2).told());
        assertEquals(1, endpoint.runs("r"));
    }

    @Test
    void aColdEndpointIsSparedByAllProxiesTogether() throws Exception {
        restart(
                entry(0, "10.0.0.1:1", "in_service", 0),
                entry(1, "10.0.0.1:2", "in_service", 0),
                entry(2, "10.0.0.1:3", "in_service", System.currentTimeMillis()));
        int cold = 0;
        for (int i = 0; i < 9; i++) {
            cold += Peer.open(proxy()).ask("r" + i, READ, 1).told().endsWith(":3") ? 1 : 0;
        }
        assertTrue(cold <= 1, cold + " of 9 proxies' calls at once went to the cold endpoint");
    }

    // ---- hard case 7 ----

    @Test
    void whatIsOpenWhenItDrainsIsFinished() throws Exception {
        Peer open = Peer.open(proxy()).ask("r", ORDER, 1);
        open.told();
        ManagedChannel later = proxy();
        Thread drain = new Thread(server::drain);
        drain.start();
        await("it drains", () -> log.toString(StandardCharsets.UTF_8).contains("draining"));
        open.say(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", open.told());
        drain.join(PATIENCE_MS);
        assertTrue(log.toString(StandardCharsets.UTF_8).contains("martenlatch: drained"), log.toString());
        assertEquals("UNAVAILABLE", Peer.open(later).ask("s", ORDER, 1).told());
    }

    @Test
    void aNewConfigurationMovesTheWatchAndTouchesNoConsultation() throws Exception {
        Peer open = Peer.open(proxy()).ask("r", ORDER, 1);
        open.told();
        Path site = folder.resolve("config.json");
        try (ServerSocket next = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            next.setSoTimeout((int) PATIENCE_MS);
            Files.writeString(
                    site,
                    Files.readString(site)
                            .replace("127.0.0.1:" + discovery.getLocalPort(), "127.0.0.1:" + next.getLocalPort()));
            server.reload();
            next.accept().close();
        }
        open.say(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", open.told());
        Files.writeString(site, "{");
        server.reload();
        await("it is told", () -> log.toString(StandardCharsets.UTF_8).contains("configuration not reloaded"));
    }

    // ---- hard case 8 ----

    @Test
    void garbageInsteadOfHttp2DisturbsNobody() throws Exception {
        for (String garbage : List.of(
                "GET / HTTP/1.1\r\n\r\n",
                "\0".repeat(24),
                "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\377\377\377\377\377\377\377\377\377")) {
            try (Socket socket =
                    new Socket(server.address().getAddress(), server.address().getPort())) {
                socket.setSoTimeout((int) PATIENCE_MS);
                socket.getOutputStream().write(garbage.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
                while (socket.getInputStream().read() >= 0) {
                    continue;
                }
            } catch (java.net.SocketException e) {
                // A reset ends it as well.
                continue;
            }
        }
        assertServes("r");
        assertEquals(0, streams());
    }

    @Test
    void aMessageOverTheLimitIsRefusedAndNothingElseIsDisturbed() throws Exception {
        ManagedChannel proxy = proxy();
        Peer other = Peer.open(proxy).ask("other", ORDER, 1);
        assertTrue(other.told().startsWith("10.0.0.1:"));
        assertEquals(
                "RESOURCE_EXHAUSTED",
                Peer.open(proxy)
                        .say(ExtProcFixture.request(ExtProcFixture.heads("r", ORDER, 1)
                                .addHeaders(ExtProcFixture.value("x-long", "x".repeat(64 * 1024)))))
                        .told());
        other.say(ExtProcFixture.response(200, 0));
        assertEquals("RESPONSE_HEADERS", other.told());
        await("nothing is held", () -> streams() == 0 && calls() == 0);
    }

    @Test
    void aSilentStreamIsCutOff() throws Exception {
        assertEquals("DEADLINE_EXCEEDED", Peer.open(proxy()).told());
        assertEquals(0, streams());
    }
}
