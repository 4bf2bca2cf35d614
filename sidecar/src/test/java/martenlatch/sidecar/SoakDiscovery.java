package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The discovery of a soak. Open connections can fall silent while new ones work, until they end in one of several ways;
 * it can be unreachable in the same ways, and work through its calls in turn.
 */
final class SoakDiscovery implements Closeable {

    /** How silent connections end. */
    enum Ending {
        RESET,
        CLOSE,
        UNAVAILABLE,
        GARBAGE,
        /** The sidecar gives them up. */
        NEVER
    }

    /** The interval at which an open watch looks for changes and for its end. */
    private static final int TURN_MS = 2;

    private record Entry(int endpoint, String state, int version) {}

    private final FakeEndpoint listener;
    private final FakeEndpoint secondListener;
    private final List<FakeEndpoint> endpoints;
    private final List<Entry> entries = new ArrayList<>();
    private final Set<RawHttpClient> connections = ConcurrentHashMap.newKeySet();
    private final Set<RawHttpClient> silent = ConcurrentHashMap.newKeySet();
    private final AtomicInteger polls = new AtomicInteger();
    /** The time that each call takes, one after another. */
    private final int callMs;

    private final Object calls = new Object();
    private volatile Ending ending;
    private volatile boolean silenceOver = true;
    private int version = 1;

    SoakDiscovery(List<FakeEndpoint> endpoints, int callMs) throws IOException {
        this.endpoints = endpoints;
        this.callMs = callMs;
        for (int i = 0; i < endpoints.size(); i++) {
            entries.add(new Entry(i, "in_service", version));
        }
        listener = new FakeEndpoint(this::onPoll);
        secondListener = new FakeEndpoint(this::onPoll);
    }

    String address() {
        return listener.address();
    }

    /** Returns another address of the same discovery, to which a configuration can move. */
    String secondAddress() {
        return secondListener.address();
    }

    int polls() {
        return polls.get();
    }

    synchronized void drain(int endpoint) {
        entries.set(endpoint, new Entry(endpoint, "terminating", ++version));
    }

    /** Makes all open connections silent; new ones work. */
    void silenceOpenConnections(Ending next) {
        ending = next;
        silenceOver = false;
        silent.addAll(connections);
    }

    /** Ends the connections that are silent. */
    void endSilence() {
        silenceOver = true;
    }

    private void onPoll(RawHttpClient connection, RawHttpClient.Message poll) throws Exception {
        connections.add(connection);
        polls.incrementAndGet();
        try {
            synchronized (calls) {
                Thread.sleep(callMs);
            }
            answer(connection, parameter(poll, "index"), parameter(poll, "wait"));
        } finally {
            connections.remove(connection);
        }
    }

    private void answer(RawHttpClient connection, int index, int waitMs) throws Exception {
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (silent.contains(connection) || (version() <= index && System.nanoTime() < untilNanos)) {
            if (silent.contains(connection) && silenceOver) {
                endSilently(connection);
                return;
            }
            Thread.sleep(TURN_MS);
        }
        FakeEndpoint.answer(connection, 200, "", list(index));
    }

    private void endSilently(RawHttpClient connection) throws IOException {
        silent.remove(connection);
        switch (ending) {
            case RESET -> connection.reset();
            case CLOSE -> connection.close();
            case UNAVAILABLE -> FakeEndpoint.answer(connection, 503, "", "");
            case GARBAGE -> FakeEndpoint.answer(connection, 200, "", "{\"version\":\"new\"}");
            default -> connection.awaitClose();
        }
    }

    private synchronized int version() {
        return version;
    }

    private synchronized String list(int index) {
        List<String> lines = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.version() > index) {
                lines.add(SidecarFixture.line(
                        entry.endpoint(), endpoints.get(entry.endpoint()).address(), entry.state(), 0));
            }
        }
        return SidecarFixture.list(version, index == 0, lines.toArray(String[]::new));
    }

    private static int parameter(RawHttpClient.Message poll, String name) {
        String[] parts = poll.startLine().split("[?&]" + name + "=", 2);
        return parts.length < 2 ? 0 : Integer.parseInt(parts[1].split("[& ]", 2)[0]);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        secondListener.close();
    }
}
