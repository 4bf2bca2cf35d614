package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A local discovery agent that pushes an endpoint list, and can fail to do so in several ways. */
final class FakeAgent implements Closeable {

    /** How the agent treats polls. */
    enum Conduct {
        /** Answers with the list, or once the wait of the poll is over if the version is known. */
        SOUND,
        /** Takes polls and answers them once it is sound again. */
        SILENT,
        /** Takes polls and never answers them. */
        DEAF,
        /** Resets the connection of each poll. */
        RESETS,
        /** Answers each poll with status 503. */
        REJECTS,
        /** Does not listen. */
        REFUSES,
        /** Sends the head of a response and nothing else. */
        STOPS_AFTER_HEAD,
        /** Sends the first half of its list and nothing else. */
        STOPS_IN_LIST,
        /** Sends a response of which bytes keep arriving without an end. */
        TRICKLES
    }

    private static final int STEP_MS = 10;
    private static final int TRICKLE_INTERVAL_MS = 50;
    private static final int WHOLE_LIST_VERSION = 0;
    private static final Pattern WATCH = Pattern.compile("index=(\\d+)&wait=(\\d+)");

    private final InetSocketAddress address;
    private final List<RawHttpClient> connections = new CopyOnWriteArrayList<>();
    private FakeEndpoint server;
    private volatile Conduct conduct = Conduct.REFUSES;
    private volatile int version = 1;
    private volatile String[] entries = {};

    /** Creates an agent at an address that no other process binds in the meantime. */
    FakeAgent(String host) throws IOException {
        try (ServerSocket reserved = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            address = (InetSocketAddress) reserved.getLocalSocketAddress();
        }
    }

    String address() {
        return address.getHostString() + ":" + address.getPort();
    }

    /** Replaces the list; the version of the first one is that of the configuration. */
    void setList(int newVersion, String... newEntries) {
        entries = newEntries;
        version = newVersion;
    }

    /** Changes the agent's conduct from the next poll on, and that of polls it holds. */
    void behave(Conduct next) throws IOException {
        conduct = next;
        if (next == Conduct.REFUSES) {
            close();
        } else if (server == null) {
            server = new FakeEndpoint(address, this::onPoll);
        }
    }

    /** Resets all connections. */
    void resetConnections() throws IOException {
        for (RawHttpClient connection : connections) {
            if (!connection.socket.isClosed()) {
                connection.reset();
            }
        }
        connections.clear();
    }

    private void onPoll(RawHttpClient wire, RawHttpClient.Message poll) throws Exception {
        if (!connections.contains(wire)) {
            connections.add(wire);
        }
        Matcher watch = WATCH.matcher(poll.startLine());
        int known = watch.find() ? Integer.parseInt(watch.group(1)) : WHOLE_LIST_VERSION;
        int waitMs = known == WHOLE_LIST_VERSION ? 0 : Integer.parseInt(watch.group(2));
        long takenNanos = System.nanoTime();
        while (conduct == Conduct.SILENT
                || (conduct == Conduct.SOUND && known == version && SidecarFixture.elapsedMs(takenNanos) < waitMs)) {
            Thread.sleep(STEP_MS);
        }
        String list = SidecarFixture.list(version, known != version, known == version ? new String[0] : entries);
        switch (conduct) {
            case SOUND -> FakeEndpoint.answer(wire, 200, "", list);
            case RESETS -> wire.reset();
            case REJECTS -> FakeEndpoint.answer(wire, 503, "", "");
            case STOPS_AFTER_HEAD -> wire.send(head(list.length())).awaitClose();
            case STOPS_IN_LIST ->
                wire.send(head(list.length()) + list.substring(0, list.length() / 2))
                        .awaitClose();
            case TRICKLES -> trickle(wire);
            default -> wire.awaitClose();
        }
    }

    private static String head(int contentLength) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + contentLength + "\r\n\r\n";
    }

    private static void trickle(RawHttpClient wire) throws Exception {
        wire.send(head(1_000_000));
        while (true) {
            wire.send(" ");
            Thread.sleep(TRICKLE_INTERVAL_MS);
        }
    }

    @Override
    public void close() throws IOException {
        if (server != null) {
            server.close();
            server = null;
            resetConnections();
        }
    }
}
