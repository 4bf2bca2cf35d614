package martenlatch.sidecar;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A discovery whose list changes once, from {@link #BEFORE} to {@link #AFTER}. It answers every poll as the protocol
 * says, except the first watches: these stay silent, also after the change, and end as the test says.
 */
final class ChangingDiscovery implements Closeable {

    static final int BEFORE = 1;
    static final int AFTER = 2;

    /** How a silent watch ends. */
    enum Ending {
        RESET,
        CLOSE,
        UNAVAILABLE,
        SERVER_ERROR,
        GARBAGE,
        /** A whole list that is older than the one in use. */
        OLDER_LIST,
        /** Half of an answer, and then silence. */
        HALF,
        /** Silence until the sidecar gives the watch up. */
        NEVER
    }

    private static final String HALF_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n{\"version\":2,";

    /** The interval at which an open watch looks for the change. */
    private static final int TURN_MS = 2;

    private final FakeEndpoint listener;
    private final Ending ending;
    /** The number of watches that stay silent, one after another. */
    private final int silentWatches;

    private final String before;
    private final String after;
    private final AtomicInteger watches = new AtomicInteger();
    private final AtomicInteger polls = new AtomicInteger();
    private final CountDownLatch firstWatch = new CountDownLatch(1);
    private final CountDownLatch silenceEnds = new CountDownLatch(1);
    private volatile int version = BEFORE;

    /**
     * Creates a discovery.
     *
     * @param before the entries of the list at first, and {@code after} those that change
     */
    ChangingDiscovery(Ending ending, int silentWatches, String before, String after) throws IOException {
        this.ending = ending;
        this.silentWatches = silentWatches;
        this.before = before;
        this.after = after;
        listener = new FakeEndpoint(this::onPoll);
    }

    String address() {
        return listener.address();
    }

    /** Returns the number of polls so far. */
    int polls() {
        return polls.get();
    }

    /** Waits for the first watch, which stays silent. */
    void awaitFirstWatch() {
        SidecarFixture.await(firstWatch);
    }

    void change() {
        version = AFTER;
    }

    /** Ends the silent watches. */
    void endSilence() {
        silenceEnds.countDown();
    }

    private void onPoll(RawHttpClient connection, RawHttpClient.Message poll) throws Exception {
        polls.incrementAndGet();
        int index = parameter(poll, "index", 0);
        int waitMs = parameter(poll, "wait", 0);
        if (waitMs > 1 && watches.incrementAndGet() <= silentWatches) {
            firstWatch.countDown();
            endSilently(connection);
            return;
        }
        long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (version <= index && System.nanoTime() < untilNanos) {
            Thread.sleep(TURN_MS);
        }
        int answered = version;
        FakeEndpoint.answer(connection, 200, "", list(answered, index));
    }

    private String list(int current, int index) {
        if (index == 0) {
            return SidecarFixture.list(current, true, before, current == AFTER ? after : before);
        }
        return index < current ? SidecarFixture.list(current, false, after) : SidecarFixture.list(current, false);
    }

    private void endSilently(RawHttpClient connection) throws Exception {
        if (ending == Ending.HALF) {
            connection.send(HALF_ANSWER);
        }
        if (ending == Ending.HALF || ending == Ending.NEVER) {
            connection.awaitClose();
            return;
        }
        SidecarFixture.await(silenceEnds);
        switch (ending) {
            case RESET -> connection.reset();
            case CLOSE -> connection.close();
            case UNAVAILABLE -> FakeEndpoint.answer(connection, 503, "", "");
            case SERVER_ERROR -> FakeEndpoint.answer(connection, 500, "", "");
            case GARBAGE -> FakeEndpoint.answer(connection, 200, "", "{\"version\":\"new\"}");
            default -> FakeEndpoint.answer(connection, 200, "", SidecarFixture.list(0, true, before));
        }
    }

    private static int parameter(RawHttpClient.Message poll, String name, int absent) {
        String[] parts = poll.startLine().split("[?&]" + name + "=", 2);
        return parts.length < 2 ? absent : Integer.parseInt(parts[1].split("[& ]", 2)[0]);
    }

    @Override
    public void close() throws IOException {
        silenceEnds.countDown();
        listener.close();
    }
}
