package martenlatch.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;

/** An answer that is passed on as it comes, from the connection to an endpoint on which it comes. */
final class PassedOn implements RemainingBody {

    /**
     * Where no byte has been passed on for so long, one of both sides is gone without a word: longer than
     * any pause of a peer that is well, and short enough for what it holds.
     */
    static final int STALL_MS = 10_000;

    /** The connection on which it comes. */
    interface Connection {
        void read(boolean on);

        void close();
    }

    private final long length;
    private final Connection connection;
    private final Scheduler time;
    private final Deque<byte[]> early = new ArrayDeque<>();
    private Receiver taker;
    private Scheduler.Timer stall;
    private double movedAt;
    private boolean ended;
    private boolean whole;

    PassedOn(long length, Connection connection, Scheduler time) {
        this.length = length;
        this.connection = connection;
        this.time = time;
        movedAt = time.now();
        // Until somebody takes it, no more than has been read already.
        connection.read(false);
        watch();
    }

    private void watch() {
        stall = time.after(movedAt + STALL_MS - time.now(), () -> {
            if (time.now() - movedAt >= STALL_MS) {
                connection.close();
            } else if (!ended) {
                watch();
            }
        });
    }

    @Override
    public long length() {
        return length;
    }

    void part(byte[] bytes) {
        movedAt = time.now();
        if (taker == null) {
            early.add(bytes);
        } else {
            taker.onPart(bytes);
        }
    }

    void end(boolean allCame) {
        if (ended) {
            return;
        }
        ended = true;
        whole = allCame;
        stall.cancel();
        if (taker != null) {
            taker.onEnd(whole);
        }
    }

    boolean isOver() {
        return ended;
    }

    @Override
    public void transferTo(Receiver next) {
        taker = next;
        for (byte[] bytes = early.poll(); bytes != null; bytes = early.poll()) {
            next.onPart(bytes);
        }
        if (ended) {
            next.onEnd(whole);
        } else {
            connection.read(true);
        }
    }

    @Override
    public void pause(boolean paused) {
        if (!ended) {
            connection.read(!paused);
        }
    }

    @Override
    public void abandon() {
        taker = null;
        early.clear();
        if (!ended) {
            ended = true;
            stall.cancel();
            connection.close();
        }
    }
}
