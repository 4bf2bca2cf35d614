package martenlatch.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;

/** A response body that is forwarded while it is being received from an endpoint's connection. */
final class StreamedResponse implements RemainingBody {

    /**
     * If no byte moves for so long, in milliseconds, one of both sides is gone without notice: longer than any pause
     * of a healthy peer, and short enough for what the stream holds.
     */
    static final int STALL_MS = 10_000;

    /** The connection from which the body is received. */
    interface Connection {
        /** Reads on from the connection, or stops reading. */
        void setReading(boolean reading);

        /** Closes the connection: the rest of the body is of no use. */
        void close();
    }

    private final long length;
    private final Connection connection;
    private final Scheduler scheduler;
    /** Parts that were received before somebody took them. */
    private final Deque<byte[]> earlyParts = new ArrayDeque<>();

    private Receiver receiver;
    private Scheduler.Timer stallTimer;
    private double lastPartMs;
    private boolean ended;
    private boolean complete;

    StreamedResponse(long length, Connection connection, Scheduler scheduler) {
        this.length = length;
        this.connection = connection;
        this.scheduler = scheduler;
        lastPartMs = scheduler.now();
        // Until somebody takes the body, no more of it is read.
        connection.setReading(false);
        startStallTimer();
    }

    private void startStallTimer() {
        double delayMs = lastPartMs + STALL_MS - scheduler.now();
        stallTimer = scheduler.after(delayMs, () -> {
            if (scheduler.now() - lastPartMs >= STALL_MS) {
                connection.close();
            } else if (!ended) {
                startStallTimer();
            }
        });
    }

    @Override
    public long length() {
        return length;
    }

    /** The next part has been received. */
    void onPart(byte[] bytes) {
        lastPartMs = scheduler.now();
        if (receiver == null) {
            earlyParts.add(bytes);
        } else {
            receiver.onPart(bytes);
        }
    }

    /** The body has ended, complete or cut short. */
    void onEnd(boolean completely) {
        if (ended) {
            return;
        }
        ended = true;
        complete = completely;
        stallTimer.cancel();
        if (receiver != null) {
            receiver.onEnd(complete);
        }
    }

    @Override
    public void transferTo(Receiver next) {
        receiver = next;
        for (byte[] bytes = earlyParts.poll(); bytes != null; bytes = earlyParts.poll()) {
            next.onPart(bytes);
        }
        if (ended) {
            next.onEnd(complete);
        } else {
            connection.setReading(true);
        }
    }

    @Override
    public void pause(boolean paused) {
        if (!ended) {
            connection.setReading(!paused);
        }
    }

    @Override
    public void abandon() {
        receiver = null;
        earlyParts.clear();
        if (!ended) {
            ended = true;
            stallTimer.cancel();
            connection.close();
        }
    }
}
