package martenlatch.upstream;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A request body that is forwarded while it is being received: a client's connection offers parts, an endpoint's
 * connection takes them. The first attempt that takes a part gets all of it; a later one finds the body used up. The
 * bytes that wait in between are bounded by pausing the client.
 */
public final class StreamedRequestBody {

    /** The client is paused when so many bytes wait for the endpoint; one read more may follow. */
    private static final int MAX_WAITING_BYTES = 32 * 1024;

    /** Where the body comes from. */
    public interface Source {
        /** Stops reading the body, or reads on. */
        void setPaused(boolean paused);

        /** An endpoint is ready for the body: a client that waits for {@code 100 Continue} may have it. */
        void onSinkAttached();
    }

    /** Where the body goes. */
    interface Sink {
        /** The next part, to be released by the sink. */
        void onPart(ByteBuf bytes);

        /** The body is complete. */
        void onEnd();
    }

    private final long length;
    private final Source source;
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private Sink sink;
    private boolean sinkFull;
    /** A sink has been attached: the body cannot be had from its first byte any more. */
    private boolean used;

    private boolean complete;
    private boolean aborted;
    private boolean sourcePaused;

    /** Creates a body of so many bytes, or -1 where only its end tells. */
    public StreamedRequestBody(long length, Source source) {
        this.length = length;
        this.source = source;
    }

    long length() {
        return length;
    }

    /** Whether the body can still be had from its first byte. */
    boolean isFresh() {
        return !used && !aborted;
    }

    /** The next part has been received; it is owned by this object from now on. */
    public void offer(ByteBuf part) {
        boolean unwanted = used && sink == null;
        if (aborted || unwanted) {
            part.release();
            return;
        }
        waiting.add(part);
        waitingBytes += part.readableBytes();
        transfer();
    }

    /** The last part has been received. */
    public void complete() {
        complete = true;
        transfer();
    }

    /** No more will be received: what was not taken is dropped. */
    public void abort() {
        aborted = true;
        sink = null;
        releaseWaiting();
    }

    /** An endpoint's connection takes the body from its first byte. */
    void attach(Sink taker) {
        sink = taker;
        used = true;
        source.onSinkAttached();
        transfer();
    }

    /** The endpoint's connection takes no more; what is still received is dropped. */
    void detach() {
        sink = null;
        releaseWaiting();
        updateSource();
    }

    /** The endpoint's connection can take no more for now, or can again. */
    void setSinkFull(boolean full) {
        sinkFull = full;
        transfer();
    }

    private void releaseWaiting() {
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        waitingBytes = 0;
    }

    private void transfer() {
        while (sink != null && !sinkFull && !waiting.isEmpty()) {
            ByteBuf next = waiting.poll();
            waitingBytes -= next.readableBytes();
            sink.onPart(next);
        }
        if (sink != null && complete && waiting.isEmpty()) {
            Sink finished = sink;
            sink = null;
            finished.onEnd();
        }
        updateSource();
    }

    private void updateSource() {
        // After a complete body only the client's disconnect can follow, which has to be seen.
        boolean pause = waitingBytes >= MAX_WAITING_BYTES && !complete;
        if (pause != sourcePaused && !aborted) {
            sourcePaused = pause;
            source.setPaused(pause);
        }
    }
}
