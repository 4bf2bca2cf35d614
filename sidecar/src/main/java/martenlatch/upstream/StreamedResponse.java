package martenlatch.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import martenlatch.request.RemainingBody;
import martenlatch.request.Scheduler;

/** The rest of a response body, which is forwarded while it is being received from an endpoint's connection. */
final class StreamedResponse implements RemainingBody {

    /**
     * The time without progress after which the endpoint or the client is assumed to be gone without notice. It is
     * longer than any pause of a healthy peer, and short enough for the resources that the stream holds.
     */
    static final int STALL_MS = 10_000;

    /** The connection from which the body is received. */
    interface Connection {
        /** Resumes or pauses reading from the connection. */
        void setReading(boolean reading);

        /** Closes the connection because the rest of the body is not needed. */
        void close();
    }

    /** The length of the whole body in bytes, or -1 if it is not known before the end. */
    private final long length;

    private final Connection connection;
    private final Scheduler scheduler;
    /** The parts that arrived before a receiver was set. */
    private final Deque<byte[]> bufferedParts = new ArrayDeque<>();

    private Receiver receiver;
    private Scheduler.Timer stallTimer;
    private double lastPartAtMs;
    private boolean ended;
    private boolean complete;

    StreamedResponse(long length, Connection connection, Scheduler scheduler) {
        this.length = length;
        this.connection = connection;
        this.scheduler = scheduler;
        lastPartAtMs = scheduler.now();
        // Reading stops until a receiver is set.
        connection.setReading(false);
        startStallTimer();
    }

    /** Starts a timer that closes the connection if no part has arrived for {@link #STALL_MS}. */
    private void startStallTimer() {
        double delayMs = lastPartAtMs + STALL_MS - scheduler.now();
        stallTimer = scheduler.after(delayMs, () -> {
            if (scheduler.now() - lastPartAtMs >= STALL_MS) {
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

    /** Called when the next part has been received. */
    void onPart(byte[] bytes) {
        lastPartAtMs = scheduler.now();
        if (receiver == null) {
            bufferedParts.add(bytes);
        } else {
            receiver.onPart(bytes);
        }
    }

    /** Called when the body has ended, either complete or truncated. Further calls have no effect. */
    void onEnd(boolean bodyComplete) {
        if (ended) {
            return;
        }
        ended = true;
        complete = bodyComplete;
        stallTimer.cancel();
        if (receiver != null) {
            receiver.onEnd(complete);
        }
    }

    @Override
    public void transferTo(Receiver newReceiver) {
        receiver = newReceiver;
        for (byte[] bytes = bufferedParts.poll(); bytes != null; bytes = bufferedParts.poll()) {
            newReceiver.onPart(bytes);
        }
        if (ended) {
            newReceiver.onEnd(complete);
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
        bufferedParts.clear();
        if (!ended) {
            ended = true;
            stallTimer.cancel();
            connection.close();
        }
    }
}
