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
import java.util.Optional;
import martenlatch.net.MemoryBudget;
import martenlatch.policy.api.AttemptOutcome;
import martenlatch.request.BodyProgress;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.request.Transport;

/** One connection to an endpoint. It carries one attempt at a time and is idle in between. */
final class EndpointConnection implements ResponseDecoder.Listener, StreamedRequestBody.Sink {

    /** The time within which a healthy endpoint reads at least some of a request body that has no deadline yet. */
    private static final int UPLOAD_STALL_MS = 2000;

    private final PooledEndpoint endpoint;
    /** The generation of the endpoint's connections in which this one was opened. */
    private final int generation;

    private final OpenConnections openConnections;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final ResponseDecoder decoder;
    private EndpointSocket channel;
    /** The attempt whose response is awaited on this connection, or null. */
    private EndpointAttempt attempt;
    /** The attempt whose streamed request body is being written, or null. */
    private EndpointAttempt uploadingAttempt;

    /** How the endpoint takes that body; null if none is being written. */
    private BodyProgress uploadProgress;

    private Scheduler.Timer uploadStallTimer;
    private double idleSinceMs;
    /** Whether the response that is being streamed allows the connection to be kept alive. */
    private boolean streamedResponseKeepsAlive;

    EndpointConnection(
            PooledEndpoint endpoint,
            OpenConnections openConnections,
            Scheduler scheduler,
            RateLimitedLogger logger,
            MemoryBudget memory) {
        this.endpoint = endpoint;
        this.openConnections = openConnections;
        this.scheduler = scheduler;
        this.logger = logger;
        generation = endpoint.generation;
        decoder = new ResponseDecoder(this, scheduler, memory);
    }

    EndpointAttempt attempt() {
        return attempt;
    }

    double idleSinceMs() {
        return idleSinceMs;
    }

    /** Returns whether the connection is open and has neither unread bytes nor an end of stream. */
    boolean isOpenWithoutInput() {
        return channel.isOpenWithoutInput();
    }

    /** Fails an attempt for which no connection can be opened, and logs the reason. */
    static void failUnconnected(EndpointAttempt attempt, RateLimitedLogger logger, String reason) {
        logger.log("no connection", reason);
        attempt.release();
        attempt.finish(AttemptOutcome.CONNECT_ERROR, null);
    }

    /** Opens the connection and sends its first attempt once the connection is established. */
    void open(Bootstrap bootstrap, EndpointAttempt first) {
        attempt = first;
        first.assignTo(this);
        ChannelFuture connecting =
                bootstrap.clone().handler(new PipelineInitializer()).connect(endpoint.address);
        if (!(connecting.channel() instanceof EndpointSocket socket)) {
            // No file descriptor was available, so nothing was opened or sent.
            attempt = null;
            failUnconnected(first, logger, String.valueOf(connecting.cause()));
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

    private final class PipelineInitializer extends ChannelInitializer<EndpointSocket> {
        @Override
        protected void initChannel(EndpointSocket newSocket) {
            newSocket.pipeline().addLast(new HttpRequestEncoder());
            decoder.addTo(newSocket.pipeline());
            newSocket.pipeline().addLast(new ConnectionEventHandler());
        }
    }

    private void onConnected(EndpointAttempt first, boolean success) {
        if (!success) {
            first.release();
            channel.close();
            onClosed();
        } else if (!first.isStillNeeded()) {
            // The attempt was given up, or its client has disconnected and the event loop may not have read that yet.
            first.release();
            channel.close();
        } else if (first.isPastNotAfter()) {
            // The not-after timer is due too, but the event loop runs timers after network events.
            first.release();
            first.withdrawAndNotify();
        } else {
            send(first);
        }
    }

    /** Sends the next attempt on this idle connection. */
    void reuse(EndpointAttempt next) {
        removeFromIdle();
        attempt = next;
        next.assignTo(this);
        send(next);
    }

    /**
     * Writes an attempt, unless the endpoint accepts no new ones any more: the attempt may have been decided long
     * before, and it counts as sent from its first byte on.
     */
    private void send(EndpointAttempt sent) {
        if (!endpoint.acceptsAttempts(generation)) {
            sent.release();
            sent.withdrawAndNotify();
            return;
        }
        sent.setDeadlineHeader();
        if (sent.streamedBody() == null) {
            channel.writeAndFlush(sent.request()).addListener(written -> onWritten(sent, written.isSuccess()));
            return;
        }
        if (!sent.streamedBody().isAvailableFromStart()) {
            // The client has disconnected in the meantime; nothing of the request was sent.
            sent.release();
            channel.close();
            return;
        }
        uploadingAttempt = sent;
        uploadProgress = new BodyProgress(scheduler.now());
        channel.writeAndFlush(sent.request());
        // An endpoint may reject a request before the whole body has arrived.
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

    // ---- streamed request body ----

    @Override
    public void onPart(ByteBuf bytes) {
        BodyProgress progress = uploadProgress;
        int size = bytes.readableBytes();
        channel.writeAndFlush(new DefaultHttpContent(bytes)).addListener(written -> {
            if (written.isSuccess()) {
                progress.onBytes(scheduler.now(), size);
            }
        });
        updateUpload();
    }

    @Override
    public void onEnd() {
        EndpointAttempt sent = uploadingAttempt;
        cancelUploadStallTimer();
        uploadingAttempt = null;
        channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                .addListener(written -> onWritten(sent, written.isSuccess()));
    }

    /** Returns how the endpoint takes the request body of this attempt, if it is being written. */
    Optional<BodyProgress> uploadProgress(EndpointAttempt uploading) {
        return uploading == uploadingAttempt ? Optional.ofNullable(uploadProgress) : Optional.empty();
    }

    /**
     * Pauses or resumes the streamed request body according to whether the channel is writable. Closes the connection
     * if the endpoint reads nothing for {@link #UPLOAD_STALL_MS}, unless the attempt has a time limit.
     */
    private void updateUpload() {
        if (uploadingAttempt == null) {
            return;
        }
        uploadingAttempt.streamedBody().setSinkFull(!channel.isWritable());
        // Forwarding may have filled the channel again, and may have ended the upload.
        boolean stalled = uploadingAttempt != null && !channel.isWritable();
        if (!stalled) {
            cancelUploadStallTimer();
        } else if (uploadStallTimer == null) {
            uploadStallTimer = scheduler.after(UPLOAD_STALL_MS, this::onUploadStalled);
        }
    }

    private void onUploadStalled() {
        uploadStallTimer = null;
        if (uploadingAttempt != null && uploadingAttempt.isTimeLimited()) {
            updateUpload();
        } else {
            close();
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
        if (uploadingAttempt != null) {
            EndpointAttempt stopped = uploadingAttempt;
            uploadingAttempt = null;
            stopped.streamedBody().detach();
        }
    }

    // ---- response ----

    Optional<Transport.ResponseProgress> responseProgress() {
        return decoder.responseProgress();
    }

    /** Streams the response that is arriving from now on, if it may be; returns whether it does. */
    boolean passOnResponse() {
        return decoder.streamFromNowOn();
    }

    @Override
    public boolean mayStream() {
        return attempt == null || attempt.mayStreamResponse();
    }

    @Override
    public void onResponse(EndpointResponse response, boolean clean) {
        EndpointAttempt ended = attempt;
        attempt = null;
        boolean endedEarly = uploadingAttempt != null;
        // The connection is returned first because the listener may send another attempt that can reuse it.
        keepOrClose(clean && !endedEarly && response.keepAlive());
        if (ended != null) {
            AttemptOutcome outcome = response.outcome();
            if (endedEarly && outcome == AttemptOutcome.OK) {
                // The endpoint claims to have executed a request that it cannot have read completely, so the outcome is
                // unknown.
                outcome = AttemptOutcome.RESET;
            }
            ended.finish(outcome, outcome == AttemptOutcome.RESET ? null : response);
        }
    }

    @Override
    public void onStreamedResponseStarted(EndpointResponse response) {
        EndpointAttempt ended = attempt;
        attempt = null;
        if (ended == null || uploadingAttempt != null) {
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
        // Reading may still be paused although the last bytes have arrived.
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

    // ---- idle and closed state ----

    /** Returns the connection to the idle ones, or closes it if it cannot be reused. */
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

    /** Called when the connection is closed. Whether the last byte was written decides the outcome of its attempt. */
    private void onClosed() {
        removeFromIdle();
        stopUpload();
        EndpointAttempt ended = attempt;
        attempt = null;
        if (ended != null) {
            ended.finish(ended.isWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
        }
    }

    private final class ConnectionEventHandler extends ChannelInboundHandlerAdapter {
        /** Called after the last bytes were read, which may belong to a response that ends with the connection. */
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
            // A connection reset is reported as the outcome of the attempt; any other exception is logged for
            // operators.
            if (!(cause instanceof IOException)) {
                logger.logException("connection to an endpoint", cause);
            }
            close();
        }
    }
}
