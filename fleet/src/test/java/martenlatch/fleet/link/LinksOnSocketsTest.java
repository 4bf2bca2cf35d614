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

/** Links as processes meet them: what each end sees of a cut in one direction, a reset, a refusal. */
@Timeout(60)
class LinksOnSocketsTest {

    private static final int QUIET_MS = 300;
    private static final int PATIENCE_MS = 20_000;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Loopback addresses = new Loopback(ProcessHandle.current().pid() + 1);
    private final List<String> heads = new CopyOnWriteArrayList<>();
    private final LinkWatch watch = new LinkWatch() {
        @Override
        public void request(String from, String to, String id) {
            heads.add(from + " " + to + " " + id);
        }

        @Override
        public void late(double ms) {
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
    void aPortThatIsTakenIsNamed() {
        InetSocketAddress taken = (InetSocketAddress) server.getLocalSocketAddress();
        StreamLink late = new StreamLink((EventLoop) group.next(), "a", "b", taken, 1, watch, System::nanoTime);
        String said = assertThrows(IllegalStateException.class, () -> late.listen(taken))
                .getMessage();
        assertTrue(said.startsWith("a to b cannot listen at /127.0.0.1:" + taken.getPort() + ": "), said);
    }

    @Test
    void whatIsSentArrivesBothWaysAndSoDoEnds() throws Exception {
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
     * One-way cuts: one end reaches the other while nothing comes back; no end, no reset; all comes when it
     * is over.
     */
    @Test
    void aCutInOneDirectionIsSilentInThatOneOnly() throws Exception {
        try (Socket near = connect();
                Socket far = accept()) {
            link.conduct(LinkConditions.CLEAR, LinkConditions.SILENT);
            near.getOutputStream().write('q');
            assertEquals('q', far.getInputStream().read());
            far.getOutputStream().write('a');
            assertSilent(near);
            link.conduct(LinkConditions.SILENT, LinkConditions.CLEAR);
            assertEquals('a', near.getInputStream().read());
            near.getOutputStream().write('r');
            assertSilent(far);
            link.conduct(LinkConditions.CLEAR, LinkConditions.CLEAR);
            assertEquals('r', far.getInputStream().read());
        }
    }

    /** A cut lets no connection come up, as packets vanish; it is no refusal. When it is over they do. */
    @Test
    void nobodyConnectsThroughACut() throws Exception {
        link.conduct(LinkConditions.CLEAR, LinkConditions.SILENT);
        group.next().submit(() -> {}).sync();
        Thread.sleep(QUIET_MS);
        try (Socket socket = new Socket()) {
            assertThrows(SocketTimeoutException.class, () -> socket.connect(link.address(), QUIET_MS));
        }
        link.conduct(LinkConditions.CLEAR, LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write('x');
            assertEquals('x', far.getInputStream().read());
        }
    }

    @Test
    void refusalsAndResetsAreSeenAtOnce() throws Exception {
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
    void writesComeTwiceOrHalf() throws Exception {
        link.conduct(new LinkConditions(0, 0, 0, 1, 0, Double.POSITIVE_INFINITY, 0, false), LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write("once".getBytes());
            assertEquals("onceonce", read(far, 8));
        }
        link.conduct(new LinkConditions(0, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 1, false), LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            near.getOutputStream().write("half".getBytes());
            assertThrows(SocketException.class, () -> far.getInputStream().readNBytes(3));
        }
    }

    @Test
    void aDelayIsKept() throws Exception {
        link.conduct(new LinkConditions(150, 0, 0, 0, 0, Double.POSITIVE_INFINITY, 0, false), LinkConditions.CLEAR);
        try (Socket near = connect();
                Socket far = accept()) {
            long sent = System.nanoTime();
            near.getOutputStream().write('x');
            assertEquals('x', far.getInputStream().read());
            assertTrue((System.nanoTime() - sent) / 1e6 >= 150);
        }
    }

    /** UDP as the platform gives it: who sends is known by an address of one's own, and directions differ. */
    @Test
    void datagramsGoBetweenMembersAndAreCutOneWay() throws Exception {
        DatagramLinks links = new DatagramLinks((EventLoop) group.next(), 3, addresses, 1, watch, System::nanoTime);
        DatagramSocket[] members = new DatagramSocket[3];
        for (int i = 0; i < members.length; i++) {
            members[i] = new DatagramSocket(addresses.next());
            members[i].setSoTimeout(PATIENCE_MS);
            links.home(i, (InetSocketAddress) members[i].getLocalSocketAddress());
        }
        say(members[0], "to 1", links.seenBy(0).get(1));
        assertEquals("to 1 from " + links.seenBy(1).get(0), hear(members[1]));
        say(members[2], "to all", links.all(2));
        assertEquals("to all from " + links.seenBy(0).get(2), hear(members[0]));
        assertEquals("to all from " + links.seenBy(1).get(2), hear(members[1]));
        links.conduct(0, 1, LinkConditions.SILENT);
        say(members[0], "lost", links.seenBy(0).get(1));
        say(members[1], "back", links.seenBy(1).get(0));
        assertEquals("back from " + links.seenBy(0).get(1), hear(members[0]));
        members[1].setSoTimeout(QUIET_MS);
        assertThrows(SocketTimeoutException.class, () -> hear(members[1]));
        assertEquals(8, links.sentBytes(0));
        links.close();
        for (DatagramSocket member : members) {
            member.close();
        }
    }

    private static void say(DatagramSocket from, String text, InetSocketAddress to) throws IOException {
        from.send(new DatagramPacket(text.getBytes(), text.length(), to));
    }

    private static String hear(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[256], 256);
        at.receive(packet);
        return new String(packet.getData(), 0, packet.getLength()) + " from " + packet.getSocketAddress();
    }
}
