package martenlatch.frontend.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import martenlatch.request.RemainingBody;

/** The pending responses of a client connection, written in the order of their requests as HTTP/1.1 requires. */
final class ResponseQueue {

    /** Is notified when responses have been written. */
    interface Listener {
        /** Called when the last response is passed to the channel; the future completes when it is written. */
        void onLastResponse(ChannelFuture written);

        /** Called when every response that is ready and not preceded by an unready one has been written. */
        void onReadyWritten();
    }

    /** The value of SO_LINGER that disables it. */
    private static final int NO_LINGER = -1;

    private final SocketChannel channel;
    private final FrontendState state;
    private final Listener listener;
    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    /** The first pending response while its body is being streamed, or null. */
    private PendingResponse streaming;
    /** Whether responses are being written. */
    private boolean writing;
    /** Whether the last response of the connection has been passed to the channel. */
    private boolean closing;

    ResponseQueue(SocketChannel channel, FrontendState state, Listener listener) {
        this.channel = channel;
        this.state = state;
        this.listener = listener;
    }

    void add(PendingResponse response) {
        pending.add(response);
    }

    boolean contains(PendingResponse response) {
        return pending.contains(response);
    }

    /** Returns whether no other response has to be written before this one. */
    boolean isNext(PendingResponse response) {
        return pending.isEmpty() || pending.peek() == response;
    }

    /** Returns whether the beginning of a response was written whose end has not arrived yet. */
    boolean isStreamingIncomplete() {
        return streaming != null
                && streaming.remainingBody() != null
                && !streaming.remainingBody().isComplete();
    }

    int size() {
        return pending.size();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Returns whether the last response of the connection has been passed to the channel. */
    boolean isClosing() {
        return closing;
    }

    /** Writes the responses at the head of the queue that are ready. */
    void writeReady() {
        // Writing may change whether the channel is writable, which leads back here.
        if (writing) {
            return;
        }
        writing = true;
        while (!closing
                && streaming == null
                && channel.isWritable()
                && !pending.isEmpty()
                && pending.peek().isReady()) {
            write(pending.peek());
        }
        writing = false;
        listener.onReadyWritten();
    }

    private void write(PendingResponse next) {
        next.failIfTruncated();
        next.decideLastOnConnection(state.isClosingConnections() && pending.size() == 1);
        if (next.isLastOnConnection()) {
            next.response().headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        RemainingBody remainingBody = next.remainingBody();
        if (remainingBody != null) {
            streaming = next;
            resetOnClose(next, true);
        } else {
            pending.poll();
        }
        // Written bytes count as direct memory, which limits itself: no more is written to a channel that is not
        // writable.
        next.releaseMemory();
        ChannelFuture written = channel.writeAndFlush(next.response());
        if (remainingBody != null) {
            remainingBody.transferTo(next);
            remainingBody.pause(!channel.isWritable());
        } else {
            closeIfLast(next, written);
        }
    }

    private void closeIfLast(PendingResponse response, ChannelFuture written) {
        closing = response.isLastOnConnection();
        if (closing) {
            listener.onLastResponse(written);
        }
    }

    /** Called when a response body has ended, complete or not; returns false if it is not the one being streamed. */
    boolean onStreamEnded(PendingResponse response, boolean complete) {
        if (streaming != response) {
            return false;
        }
        streaming = null;
        pending.poll();
        if (complete) {
            resetOnClose(response, false);
            closeIfLast(response, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            writeReady();
        } else {
            // The client detects that the body is truncated.
            channel.close();
        }
        return true;
    }

    /**
     * Sets whether closing the connection resets it if its end marks the end of the body. Until the body is complete it
     * does, whoever closes it and if the process ends, so that the client detects a truncated body.
     */
    private void resetOnClose(PendingResponse response, boolean reset) {
        if (response.isCloseDelimited()) {
            channel.config().setSoLinger(reset ? 0 : NO_LINGER);
        }
    }

    /** Pauses the streamed body while the channel is not writable; goes on writing afterwards. */
    void onWritabilityChanged() {
        if (!channel.isActive()) {
            // A closed channel is not writable, which says nothing about the client's reading.
            return;
        }
        if (streaming != null && streaming.remainingBody() != null) {
            streaming.remainingBody().pause(!channel.isWritable());
        }
        if (channel.isWritable()) {
            writeReady();
        }
    }

    /** Removes and returns all pending responses; called when nothing more can be written. */
    List<PendingResponse> removeAll() {
        List<PendingResponse> removed = List.copyOf(pending);
        pending.clear();
        streaming = null;
        return removed;
    }
}
