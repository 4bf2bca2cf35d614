package martenlatch.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A request body that is forwarded while it is being received. The client's connection is its source and offers the
 * parts; an endpoint's connection is its sink and takes them. Only the first attempt whose connection attaches can send
 * the body, because forwarded parts are not kept for a later one. Pausing the client limits the number of bytes that
 * wait to be forwarded.
 *
 * <p>The parts that wait belong to the pending response of the request, which calls {@link #abort} when the request has
 * its final response or its client is gone, whether or not the body is complete and a sink was ever attached.
 */
public final class StreamedRequestBody {

    /** The number of bytes waiting for the endpoint at which the client is paused. One more read may follow. */
    private static final int PAUSE_THRESHOLD_BYTES = 32 * 1024;
    /** The largest part that is forwarded at once: sockets are written from a copy of it in direct memory. */
    private static final int MAX_FORWARDED_BYTES = 16 * 1024;

    /** The client's connection, from which the body is received. */
    public interface Source {
        /** The source of a body that is complete. */
        Source COMPLETE = new Source() {
            @Override
            public void setPaused(boolean paused) {}

            @Override
            public void onSinkAttached() {}
        };

        /** Pauses or resumes reading the body. */
        void setPaused(boolean paused);

        /** Called when bytes of the body have been received, before they are offered. */
        default void onBytesReceived(long totalBytes) {}

        /** Called when an endpoint is ready for the body, so that {@code 100 Continue} may be sent to the client. */
        void onSinkAttached();
    }

    /** The endpoint's connection, to which the body is forwarded. */
    interface Sink {
        /** Receives the next part, which the sink must release. */
        void onPart(ByteBuf bytes);

        /** Called when the body is complete and all its parts were forwarded. */
        void onEnd();
    }

    /** The length in bytes, or -1 if it is not known before the end. */
    private final long length;

    private final Source source;
    private final Deque<ByteBuf> pendingParts = new ArrayDeque<>();
    private int pendingBytes;
    private Sink sink;
    private boolean sinkFull;
    /** Whether a part is being passed to the sink. */
    private boolean forwarding;
    /** Whether a sink was ever attached; the body can no longer be sent from its first byte then. */
    private boolean attachedOnce;

    private boolean complete;
    private boolean aborted;
    private boolean sourcePaused;

    /**
     * Creates a body.
     *
     * @param length the length in bytes, or -1 if it is not known before the end
     * @param source the connection from which the body is received
     */
    public StreamedRequestBody(long length, Source source) {
        this.length = length;
        this.source = source;
    }

    long length() {
        return length;
    }

    /** Returns a body that is complete already, for one attempt. */
    static StreamedRequestBody complete(byte[] bytes) {
        StreamedRequestBody body = new StreamedRequestBody(bytes.length, Source.COMPLETE);
        body.offer(Unpooled.wrappedBuffer(bytes));
        body.complete();
        return body;
    }

    /** Returns whether the body can still be sent from its first byte. */
    boolean isAvailableFromStart() {
        return !attachedOnce && !aborted;
    }

    /** Returns whether the next part is passed to the endpoint's connection as soon as it is offered. */
    public boolean forwardsImmediately() {
        return sink != null && !sinkFull && pendingParts.isEmpty();
    }

    /** Adds the next received part and takes ownership of it. */
    public void offer(ByteBuf part) {
        boolean discarded = attachedOnce && sink == null;
        if (aborted || discarded) {
            part.release();
            return;
        }
        pendingParts.add(part);
        pendingBytes += part.readableBytes();
        forwardPendingParts();
    }

    /** Marks the body as complete after its last part. */
    public void complete() {
        complete = true;
        forwardPendingParts();
    }

    /**
     * Ends the body and drops the parts that were not forwarded; parts that arrive afterwards are dropped. The source
     * is read on, so that its disconnect is noticed. Further calls have no effect.
     */
    public void abort() {
        if (aborted) {
            return;
        }
        aborted = true;
        sink = null;
        releasePendingParts();
        if (sourcePaused) {
            sourcePaused = false;
            source.setPaused(false);
        }
    }

    /** Attaches the endpoint's connection that receives the body from its first byte. */
    void attach(Sink newSink) {
        sink = newSink;
        attachedOnce = true;
        source.onSinkAttached();
        forwardPendingParts();
    }

    /** Detaches the endpoint's connection. Parts that arrive afterwards are dropped. */
    void detach() {
        sink = null;
        releasePendingParts();
        updateSourcePause();
    }

    /** Sets whether the endpoint's connection cannot accept more bytes at the moment. */
    void setSinkFull(boolean full) {
        sinkFull = full;
        forwardPendingParts();
    }

    private void releasePendingParts() {
        pendingParts.forEach(ByteBuf::release);
        pendingParts.clear();
        pendingBytes = 0;
    }

    private void forwardPendingParts() {
        // Writing a part may change whether the sink is full, which leads back here while the part is being written.
        if (forwarding) {
            return;
        }
        forwarding = true;
        while (sink != null && !sinkFull && !pendingParts.isEmpty()) {
            ByteBuf next = takePart();
            pendingBytes -= next.readableBytes();
            sink.onPart(next);
        }
        forwarding = false;
        if (sink != null && complete && pendingParts.isEmpty()) {
            Sink finished = sink;
            sink = null;
            finished.onEnd();
        }
        updateSourcePause();
    }

    private ByteBuf takePart() {
        ByteBuf first = pendingParts.peek();
        if (first.readableBytes() > MAX_FORWARDED_BYTES) {
            return first.readRetainedSlice(MAX_FORWARDED_BYTES);
        }
        return pendingParts.remove();
    }

    private void updateSourcePause() {
        // After a complete body the client is read again, so that its disconnect is noticed.
        boolean pause = pendingBytes >= PAUSE_THRESHOLD_BYTES && !complete;
        if (pause != sourcePaused && !aborted) {
            sourcePaused = pause;
            source.setPaused(pause);
        }
    }
}
