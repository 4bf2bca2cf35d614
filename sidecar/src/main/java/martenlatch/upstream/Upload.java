package martenlatch.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The body of a request that is passed on while it comes: a client's connection offers parts, an endpoint's
 * takes them. The first that takes a part has all of it; another attempt finds it used up. Bounded by
 * pausing the client.
 */
public final class Upload {

    /** Parts that wait for the endpoint hold so many bytes at most, and one read more. */
    private static final int MOST_WAITING = 32 * 1024;

    /** Where the body comes from. */
    public interface Source {
        /** Stops the body from coming, or lets it come again. */
        void pause(boolean paused);

        /** The endpoint is there: a client that waits for a word to go on may have it. */
        void goOn();
    }

    /** Where the body goes. */
    interface Sink {
        /** The next part, to be released by the sink. */
        void part(ByteBuf bytes);

        /** That was all. */
        void end();
    }

    private final long length;
    private final Source source;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private Sink sink;
    private boolean full;
    private boolean used;
    private boolean whole;
    private boolean over;
    private boolean paused;

    /** A body of so many bytes; -1 where only its end tells. */
    public Upload(long length, Source source) {
        this.length = length;
        this.source = source;
    }

    long length() {
        return length;
    }

    /** Whether the body can still be had from its first byte. */
    boolean isFresh() {
        return !used && !over;
    }

    /** The next part has come; it is this upload's from now on. */
    public void offer(ByteBuf part) {
        if (over || used && sink == null) {
            part.release();
            return;
        }
        waiting.add(part);
        waitingBytes += part.readableBytes();
        pump();
    }

    /** The last part has come. */
    public void end() {
        whole = true;
        pump();
    }

    /** No more will come: what was not taken is dropped. */
    public void cut() {
        over = true;
        sink = null;
        drop();
    }

    /** An endpoint's connection takes the body from its first byte. */
    void attach(Sink taker) {
        sink = taker;
        used = true;
        source.goOn();
        pump();
    }

    /** The endpoint's connection takes no more; what still comes is of no use. */
    void detach() {
        sink = null;
        drop();
        mindSource();
    }

    /** The endpoint's connection is full, or has room again. */
    void full(boolean now) {
        full = now;
        pump();
    }

    private void drop() {
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        waitingBytes = 0;
    }

    private void pump() {
        while (sink != null && !full && !waiting.isEmpty()) {
            ByteBuf next = waiting.poll();
            waitingBytes -= next.readableBytes();
            sink.part(next);
        }
        if (sink != null && whole && waiting.isEmpty()) {
            Sink last = sink;
            sink = null;
            last.end();
        }
        mindSource();
    }

    private void mindSource() {
        // Of a body that has come whole only the client's end is still to come, which has to be seen.
        boolean stop = waitingBytes >= MOST_WAITING && !whole;
        if (stop != paused && !over) {
            paused = stop;
            source.pause(stop);
        }
    }
}
