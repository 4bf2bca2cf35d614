package martenlatch.frontend.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The pending responses of one connection; they are written in the order of their requests, as HTTP requires. */
final class ResponseQueue {

    /** Hears how far the responses are written. */
    interface Listener {
        /** The last response of the connection was handed over; the future ends when it is written. */
        void onLastResponse(ChannelFuture written);

        /** All responses that are ready, and none missing before them, are written. */
        void onReadyWritten();
    }

    private final SocketChannel channel;
    private final FrontendState state;
    private final Listener listener;
    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    /** The first of them, while its body is being streamed, or null. */
    private PendingResponse streaming;
    /** The last response has been handed over. */
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

    /** Whether no other response has to be written before this one. */
    boolean isNext(PendingResponse response) {
        return pending.isEmpty() || pending.peek() == response;
    }

    int size() {
        return pending.size();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    boolean isClosing() {
        return closing;
    }

    /** Writes the responses that are ready, as far as none before them is missing. */
    void writeReady() {
        while (!closing
                && streaming == null
                && !pending.isEmpty()
                && pending.peek().isReady()) {
            write(pending.peek());
        }
        listener.onReadyWritten();
    }

    private void write(PendingResponse next) {
        next.decideLast(state.isClosingConnections() && pending.size() == 1);
        if (next.isLast()) {
            next.response().headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        ChannelFuture written = channel.writeAndFlush(next.response());
        if (next.remainingBody() != null) {
            streaming = next;
            next.remainingBody().transferTo(next);
        } else {
            pending.poll();
            closeIfLast(next, written);
        }
    }

    private void closeIfLast(PendingResponse response, ChannelFuture written) {
        closing = response.isLast();
        if (closing) {
            listener.onLastResponse(written);
        }
    }

    /** The body of a response has ended, complete or cut short; false if it is not the one that is being streamed. */
    boolean onStreamEnded(PendingResponse response, boolean complete) {
        if (streaming != response) {
            return false;
        }
        streaming = null;
        pending.poll();
        if (complete) {
            closeIfLast(response, channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
            writeReady();
        } else {
            abort(response);
        }
        return true;
    }

    /** Closes the connection in a way that tells the client that the body is incomplete. */
    private void abort(PendingResponse response) {
        if (response.endsWithConnection()) {
            channel.config().setSoLinger(0);
        }
        channel.close();
    }

    /** Pauses the body that is being streamed while the client does not take it. */
    void onWritabilityChanged() {
        if (streaming != null) {
            streaming.remainingBody().pause(!channel.isWritable());
        }
    }

    /** Removes all pending responses: nobody is there to write them to. */
    List<PendingResponse> removeAll() {
        List<PendingResponse> removed = List.copyOf(pending);
        pending.clear();
        streaming = null;
        return removed;
    }
}
