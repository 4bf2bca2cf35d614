package martenlatch.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/** One connection to an endpoint: carries one attempt at a time, and is idle in between. */
final class EndpointConnection implements ResponseDecoder.Listener, StreamedRequestBody.Sink {

    /** A healthy endpoint takes some of a body within this time, in milliseconds. */
    private static final int UPLOAD_STALL_MS = 2000;

    private final PooledEndpoint endpoint;
    private final int generation;
    private final OpenConnections openConnections;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final ResponseDecoder decoder;
    private EndpointSocket channel;
    /** The attempt on this connection, or null. */
    private EndpointAttempt attempt;
    /** The attempt whose body is being written, or null. */
    private EndpointAttempt uploading;

    private Scheduler.Timer uploadStallTimer;
    private double idleSinceMs;
    /** Whether the response that is being streamed lets its connection be kept. */
    private boolean streamedResponseKeepsAlive;

    EndpointConnection(
            PooledEndpoint endpoint, OpenConnections openConnections, Scheduler scheduler, RateLimitedLogger logger) {
        this.endpoint = endpoint;
        this.openConnections = openConnections;
        this.scheduler = scheduler;
        this.logger = logger;
        generation = endpoint.generation;
        decoder = new ResponseDecoder(this, scheduler);
    }

    EndpointAttempt attempt() {
        return attempt;
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Whether the connection is open, and neither a byte nor the other side's end has arrived. */
    boolean isSilent() {
        return channel.isSilent();
    }

    /** Ends an attempt for which no connection can be opened. */
    static void refuse(EndpointAttempt attempt, RateLimitedLogger logger, String reason) {
        logger.log("no connection", reason);
        attempt.release();
        attempt.finish(AttemptOutcome.CONNECT_ERROR, null);
    }

    /** Establishes the connection for its first attempt. */
    void open(Bootstrap bootstrap, EndpointAttempt first) {
        attempt = first;
        first.assignTo(this);
        ChannelFuture connecting = bootstrap.clone().handler(new Initializer()).connect(endpoint.address);
        if (!(connecting.channel() instanceof EndpointSocket socket)) {
            // There is no descriptor for it: nothing was opened, and nothing sent.
            attempt = null;
            refuse(first, logger, String.valueOf(connecting.cause()));
            return;
        }
        channel = socket;
        openConnections.add(channel);
        endpoint.connecting.add(this);
        connecting.addListener(connected -> {
            endpoint.connecting.remove(this);
            onConnected(first, connected.isSuccess());
        });
    }

    private final class Initializer extends ChannelInitializer<EndpointSocket> {
        @Override
        protected void initChannel(EndpointSocket fresh) {
            fresh.pipeline().addLast(new HttpRequestEncoder());
            decoder.addTo(fresh.pipeline());
            fresh.pipeline().addLast(new ConnectionEvents());
        }
    }

    private void onConnected(EndpointAttempt first, boolean success) {
        if (!success) {
            first.release();
            channel.close();
            onClosed();
        } else if (!first.isWanted()) {
            // Given up, or its client has left, which the event loop may hear of only after this.
            first.release();
            channel.close();
        } else if (first.isTooLate()) {
            // Its timer is due too, and runs after the network's events.
            first.release();
            first.withdrawAndNotify();
        } else {
            send(first);
        }
    }

    /** Sends another attempt on this idle connection. */
    void reuse(EndpointAttempt next) {
        removeFromIdle();
        attempt = next;
        next.assignTo(this);
        send(next);
    }

    private void send(EndpointAttempt sent) {
        sent.setDeadlineHeader();
        if (sent.streamedBody() == null) {
            channel.writeAndFlush(sent.request()).addListener(written -> onWritten(sent, written.isSuccess()));
            return;
        }
        if (!sent.streamedBody().isFresh()) {
            // The client has left in the meantime: nothing of the request was sent.
            sent.release();
            channel.close();
            return;
        }
        uploading = sent;
        channel.writeAndFlush(sent.request());
        // An endpoint may reject a request before all of it has arrived.
        decoder.expectResponse();
        sent.streamedBody().attach(this);
    }

    private void onWritten(EndpointAttempt sent, boolean success) {
        if (success) {
            sent.onWritten();
            decoder.expectResponse();
        } else {
            channel.close();
        }
    }

    // ---- the body of a request that is still being received ----

    @Override
    public void onPart(ByteBuf bytes) {
        channel.writeAndFlush(new DefaultHttpContent(bytes));
        updateUpload();
    }

    @Override
    public void onEnd() {
        EndpointAttempt sent = uploading;
        cancelUploadStallTimer();
        uploading = null;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> onWritten(sent, written.isSuccess()));
    }

    /** An endpoint that takes nothing more of a body for a while does not read: its connection is closed. */
    private void updateUpload() {
        if (uploading == null) {
            return;
        }
        boolean full = !channel.isWritable();
        uploading.streamedBody().setSinkFull(full);
        if (!full) {
            cancelUploadStallTimer();
        } else if (uploadStallTimer == null) {
            uploadStallTimer = scheduler.after(UPLOAD_STALL_MS, this::close);
        }
    }

    private void cancelUploadStallTimer() {
        if (uploadStallTimer != null) {
            uploadStallTimer.cancel();
            uploadStallTimer = null;
        }
    }

    private void stopUpload() {
        cancelUploadStallTimer();
        if (uploading != null) {
            EndpointAttempt stopped = uploading;
            uploading = null;
            stopped.streamedBody().detach();
        }
    }

    // ---- the response ----

    @Override
    public void onResponse(EndpointResponse response, boolean clean) {
        EndpointAttempt ended = attempt;
        attempt = null;
        boolean early = uploading != null;
        // The connection is returned first: what the response leads to may need it.
        keepOrClose(clean && !early && response.keepAlive());
        if (ended != null) {
            AttemptOutcome outcome = response.outcome();
            if (early && outcome == AttemptOutcome.OK) {
                // It claims to have executed a request that it can't have read: nobody knows.
                outcome = AttemptOutcome.RESET;
            }
            ended.finish(outcome, outcome == AttemptOutcome.RESET ? null : response);
        }
    }

    @Override
    public void onStreamedResponseStarted(EndpointResponse response) {
        EndpointAttempt ended = attempt;
        attempt = null;
        if (ended == null || uploading != null) {
            response.remainingBody().abandon();
            close();
            if (ended != null) {
                ended.finish(AttemptOutcome.RESET, null);
            }
            return;
        }
        streamedResponseKeepsAlive = response.keepAlive();
        ended.finish(AttemptOutcome.OK, response);
    }

    @Override
    public void onStreamedResponseEnded(boolean clean) {
        // Reading may be paused although the last bytes have arrived.
        channel.config().setAutoRead(true);
        keepOrClose(clean && streamedResponseKeepsAlive);
    }

    @Override
    public void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    @Override
    public void onInvalidResponse() {
        close();
    }

    // ---- idle and closed ----

    private void keepOrClose(boolean reusable) {
        if (reusable && channel.isActive() && generation == endpoint.generation) {
            idleSinceMs = scheduler.now();
            endpoint.idle.addLast(this);
            openConnections.addIdle(this);
        } else {
            close();
        }
    }

    private void removeFromIdle() {
        endpoint.idle.remove(this);
        openConnections.removeIdle(this);
    }

    void close() {
        removeFromIdle();
        stopUpload();
        channel.close();
    }

    /** The connection is closed; the attempt on it ends by whether its last byte was written. */
    private void onClosed() {
        removeFromIdle();
        stopUpload();
        EndpointAttempt ended = attempt;
        attempt = null;
        if (ended != null) {
            ended.finish(ended.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
        }
    }

    private final class ConnectionEvents extends ChannelInboundHandlerAdapter {
        /** Called after the last bytes were read, which may be a response that is ended by this. */
        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onClosed();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext ctx) {
            updateUpload();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset is an ordinary end of an attempt and reported as such; operators should see the rest.
            if (!(cause instanceof IOException)) {
                logger.logException("connection to an endpoint", cause);
            }
            close();
        }
    }
}
