package martenlatch.fleet.link;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ConnectException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests links on real sockets: what each end sees of a one-way cut, a reset and a refused connection. */
@Timeout(60)
class LinksOnSocketsTest {

    private static final int QUIET_MS = 300;
    private static final int PATIENCE_MS = 20_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final LoopbackAddresses addresses =
            new LoopbackAddresses(ProcessHandle.current().pid() + 1);
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private final LinkObserver watch = new LinkObserver() {
        @Override
        public void onRequest(String from, String to, String id) {
            heads.add(from + " " + to + " " + id);
        }

        @Override
        public void onLate(double ms) {
            return;
        }
    };
    private ServerSocket server;
    private StreamLink link;

    @BeforeEach
    void listen() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        server.setSoTimeout(PATIENCE_MS);
        link = new StreamLink(
                        (EventLoop) group.next(),
                        "a",
                        "b",
                        (InetSocketAddress) server.getLocalSocketAddress(),
                        1,
                        watch,
                        System::nanoTime)
                .listen(addresses.next());
    }

    @AfterEach
    void close() throws IOException {
        link.close();
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(link.address(), PATIENCE_MS);
        socket.setSoTimeout(PATIENCE_MS);
        return socket;
    }

    private Socket accept() throws IOException {
        Socket accepted = server.accept();
        accepted.setSoTimeout(PATIENCE_MS);
        return accepted;
    }

    private static void assertSilent(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> socket.getInputStream().read());
        socket.setSoTimeout(PATIENCE_MS);
    }

    private static String read(Socket socket, int bytes) throws IOException {
        return new String(socket.getInputStream().readNBytes(bytes));
    }

    @Test
    void listenOnUsedPortNamesTheAddress() {
        InetSocketAddress taken = (InetSocketAddress) server.getLocalSocketAddress();
        StreamLink late = new StreamLink((EventLoop) group.next(), "a", "b", taken, 1, watch, System::nanoTime);
        String said = assertThrows(IllegalStateException.class, () -> late.listen(taken))
                .getMessage();
        assertTrue(said.startsWith("a to b cannot listen at /127.0.0.1:" + taken.getPort() + ": "), said);
    }

    @Test
    void dataAndEndOfStreamAreRelayedBothWays() throws Exception {
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write("GET /api HTTP/1.1\r\nX-Request".getBytes());
            assertEquals("GET /api HTTP/1.1\r\nX-Request", read(far, 28));
            near.getOutputStream().write("-Id: r7\r\n\r\n".getBytes());
            assertEquals("-Id: r7\r\n\r\n", read(far, 11));
            assertEquals(List.of("a b r7"), heads, "an id that came in two parts");
            near.shutdownOutput();
            assertEquals(-1, far.getInputStream().read());
            far.getOutputStream().write("still".getBytes());
            assertEquals("still", read(near, 5), "the other direction goes on");
            far.close();
            assertEquals(-1, near.getInputStream().read());
        }
    }

    /**
     * During a one-way cut, one end reaches the other but nothing comes back, without an end of stream or a reset.
     * Everything sent meanwhile arrives once the cut ends.
     */
    @Test
    void oneWayCutIsSilentInThatDirectionOnly() throws Exception {
        try (Socket near = connect();
                Socket far = accept()) {
            link.setConditions(LinkConditions.CLEAR, LinkConditions.SILENT);
            near.getOutputStream().write('q');
            assertEquals('q', far.getInputStream().read());
            far.getOutputStream().write('a');
            assertSilent(near);
            link.setConditions(LinkConditions.SILENT, LinkConditions.CLEAR);
            assertEquals('a', near.getInputStream().read());
            near.getOutputStream().write('r');
            assertSilent(far);
            link.setConditions(LinkConditions.CLEAR, LinkConditions.CLEAR);
            assertEquals('r', far.getInputStream().read());
        }
    }

    /** During a cut, connection attempts time out instead of being refused; afterwards they succeed. */
    @Test
    void connectTimesOutDuringCut() throws Exception {
        link.setConditions(LinkConditions.CLEAR, LinkConditions.SILENT);
        group.next().submit(() -> {}).sync();
        Thread.sleep(QUIET_MS);
        try (Socket socket = new Socket()) {
            assertThrows(SocketTimeoutException.class, () -> socket.connect(link.address(), QUIET_MS));
        }
        link.setConditions(LinkConditions.CLEAR, LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write('x');
            assertEquals('x', far.getInputStream().read());
        }
    }

    @Test
    void refusalsAndResetsAreSeenImmediately() throws Exception {
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write('x');
            assertEquals('x', far.getInputStream().read());
            link.reset();
            assertThrows(SocketException.class, () -> near.getInputStream().read());
            assertThrows(SocketException.class, () -> far.getInputStream().read());
        }
        link.refuse(true);
        assertThrows(ConnectException.class, this::connect);
        link.refuse(false);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write('y');
            assertEquals('y', far.getInputStream().read());
        }
    }

    @Test
    void writesAreDuplicatedOrTruncated() throws Exception {
        link.setConditions(new LinkConditions(0, 0, 0, 1, 0, Double.POSITIVE_INFINITY, 0, false), LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write("once".getBytes());
            assertEquals("onceonce", read(far, 8));
        }
        link.setConditions(new LinkConditions(0, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 1, false), LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write("half".getBytes());
            assertThrows(SocketException.class, () -> far.getInputStream().readNBytes(3));
        }
    }

    @Test
    void delayIsApplied() throws Exception {
        link.setConditions(
                new LinkConditions(150, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false), LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            long sent = System.nanoTime();
            near.getOutputStream().write('x');
            assertEquals('x', far.getInputStream().read());
            assertTrue((System.nanoTime() - sent) / 1e6 >= 150);
        }
    }

    /** As on the platform, receivers identify a UDP sender by its own address, and each direction can be cut alone. */
    @Test
    void datagramsAreRelayedAndCutOneWay() throws Exception {
        DatagramLinks links = new DatagramLinks((EventLoop) group.next(), 3, addresses, 1, watch, System::nanoTime);
        DatagramSocket[] members = new DatagramSocket[3];
        for (int i = 0; i < members.length; i++) {
            members[i] = new DatagramSocket(addresses.next());
            members[i].setSoTimeout(PATIENCE_MS);
            links.setAddress(i, (InetSocketAddress) members[i].getLocalSocketAddress());
        }
        send(members[0], "to 1", links.peerAddresses(0).get(1));
        assertEquals("to 1 from " + links.peerAddresses(1).get(0), receive(members[1]));
        send(members[2], "to all", links.broadcastAddress(2));
        assertEquals("to all from " + links.peerAddresses(0).get(2), receive(members[0]));
        assertEquals("to all from " + links.peerAddresses(1).get(2), receive(members[1]));
        links.setConditions(0, 1, LinkConditions.SILENT);
        send(members[0], "lost", links.peerAddresses(0).get(1));
        send(members[1], "back", links.peerAddresses(1).get(0));
        assertEquals("back from " + links.peerAddresses(0).get(1), receive(members[0]));
        members[1].setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> receive(members[1]));
        assertEquals(8, links.sentBytes(0));
        links.close();
        for (DatagramSocket member : members) {
            member.close();
        }
    }

    private static void send(DatagramSocket from, String text, InetSocketAddress to) throws IOException {
        from.send(new DatagramPacket(text.getBytes(), text.length(), to));
    }

    private static String receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[256], 256);
        at.receive(packet);
        return new String(packet.getData(), 0, packet.getLength()) + " from " + packet.getSocketAddress();
    }
}
