package martenlatch.frontend.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import martenlatch.frontend.InvalidRequestException;
import martenlatch.frontend.RequestParser;
import martenlatch.frontend.http.RequestEvent.BodyComplete;
import martenlatch.frontend.http.RequestEvent.CompleteRequest;
import martenlatch.frontend.http.RequestEvent.InvalidInput;
import martenlatch.frontend.http.RequestEvent.StreamedRequest;
import martenlatch.policy.api.Request;
import martenlatch.request.RequestTracker.Acceptance;
import martenlatch.upstream.OutgoingRequest;
import martenlatch.upstream.StreamedRequestBody;

/** A client connection: reads requests, passes them to the request tracker and has responses written in order. */
final class ClientConnection extends SimpleChannelInboundHandler<RequestEvent>
        implements StreamedRequestBody.Source, ResponseQueue.Listener, UploadMonitor.Connection {

    /** The maximum number of pipelined requests whose responses are not written yet. */
    private static final int MAX_PIPELINED = 8;

    /** The number of bytes that are read to find out whether a client has disconnected behind them. */
    private static final long MAX_READ_AHEAD_BYTES = 2 * 1024 * 1024;

    /** The Retry-After time of requests on a connection above the connection limit. */
    private static final double OVERFLOW_RETRY_AFTER_MS = 1000;

    private static final byte[] NO_BODY = new byte[0];
    /** Headers that apply to a single connection and are not forwarded. */
    private static final List<CharSequence> HOP_BY_HOP_HEADERS = List.of(
            HttpHeaderNames.CONNECTION,
            "proxy-connection",
            "keep-alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    /** A request that has been read but not yet submitted to the request tracker, and the time at which it was read. */
    private record QueuedRequest(
            PendingResponse response, HttpRequest head, double readAtMs, OutgoingRequest message) {}

    private final SocketChannel channel;
    private final FrontendContext context;
    private final ConnectionGuard guard;
    private final RequestHeadersFactory headersFactory;
    private final ClientRequestDecoder decoder;
    private final RequestBodyCollector collector;
    private final ResponseQueue responses;
    private final Deque<QueuedRequest> queuedRequests = new ArrayDeque<>();
    /** Whether this connection exceeds the connection limit; its requests are rejected. */
    private boolean overLimit;

    /** Whether the client has sent a valid request on this connection, which then counts as idle between requests. */
    private boolean clientSentRequest;
    /** The pending response to the request whose body is still being received, or null. */
    private PendingResponse responseToIncompleteRequest;

    /** Whether the channel is not read because the streamed body arrives faster than it is forwarded. */
    private boolean bodyPaused;
    /** Follows the reading of the streamed body; null if none is being received. */
    private UploadMonitor uploadMonitor;
    /** The time since which input is left in the socket buffer, as a response is being streamed; else NaN. */
    private double unreadSinceMs = Double.NaN;
    /** Whether a request received its response before its body was complete. */
    private boolean respondedBeforeBodyEnd;

    ClientConnection(SocketChannel channel, FrontendContext context) {
        this.channel = channel;
        this.context = context;
        headersFactory = new RequestHeadersFactory(context.memory(), this::reclaimMemory);
        RequestHeadersFactory trailersFactory = new RequestHeadersFactory(context.memory(), this::reclaimMemory);
        decoder = new ClientRequestDecoder(headersFactory, trailersFactory);
        guard = new ConnectionGuard(channel, decoder, context.memory(), context.scheduler());
        collector = new RequestBodyCollector(guard, context.memory(), headersFactory, trailersFactory, this);
        responses = new ResponseQueue(channel, context.state(), this);
    }

    /** Adds the handlers of this connection to the pipeline of its channel. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(guard, decoder, new HttpResponseEncoder(), collector, this);
    }

    /** Returns the memory held by the request head that is being received, in bytes. */
    int incompleteHeadBytes() {
        return headersFactory.incompleteBytes();
    }

    /** Closes the connection, which is in the middle of a request head, to release the memory that the head holds. */
    void closeInHead() {
        headersFactory.releaseIncomplete();
        channel.close();
    }

    private boolean reclaimMemory(int ownBytes) {
        context.logger().log("memory is used up", context.memory());
        return context.connections().closeLargestIncompleteHead(ownBytes);
    }

    ResponseQueue responses() {
        return responses;
    }

    boolean hasPendingResponses() {
        return !responses.isEmpty();
    }

    /** Reads the input that has arrived but has not been read yet. */
    void readAvailable() {
        guard.readAvailable();
    }

    void close() {
        channel.close();
    }

    /**
     * Closes the connection if no response is pending on it. Input that has arrived is read first, so that a request in
     * it is served.
     *
     * @param waitForPartialRequest whether a connection in the middle of a request stays open
     */
    void closeIfIdle(boolean waitForPartialRequest) {
        if (isIdle(waitForPartialRequest)) {
            guard.readAvailable();
        }
        if (isIdle(waitForPartialRequest)) {
            closeAfterOutput();
        }
    }

    /** Closes the connection once the responses that were passed to the channel are written. */
    private void closeAfterOutput() {
        if (guard.hasPendingOutput()) {
            guard.closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER), false, 0);
        } else {
            channel.close();
        }
    }

    private boolean isIdle(boolean waitForPartialRequest) {
        boolean receivingRequest = waitForPartialRequest && guard.isInRequest();
        return responses.isEmpty() && !responses.isClosing() && !receivingRequest;
    }

    /**
     * Returns whether the client is still connected. Reads the available input first, up to a limit, as a disconnect is
     * only visible after it.
     */
    boolean isClientConnected() {
        guard.readAvailable(MAX_READ_AHEAD_BYTES);
        return channel.isActive();
    }

    /** Returns whether the channel accepts more output; a closed one discards it. */
    boolean isWritable() {
        return channel.isWritable() || !channel.isActive();
    }

    void write(HttpContent content) {
        channel.writeAndFlush(content);
        guard.onOutput();
    }

    /** Returns whether responses are due, or are not written yet. */
    boolean owesOutput() {
        return !responses.isEmpty() || guard.hasPendingOutput();
    }

    /** Stops reading requests, after the client has sent an invalid one. */
    void stopReadingRequests() {
        collector.stop();
        guard.discardInput();
    }

    /** Discards the rest of the request body if it is still being received; returns whether it was. */
    boolean stopReceivingBodyOf(PendingResponse response) {
        if (responseToIncompleteRequest != response) {
            return false;
        }
        responseToIncompleteRequest = null;
        closeUploadMonitor();
        respondedBeforeBodyEnd = true;
        collector.stop();
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        overLimit = !context.connections().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closeUploadMonitor();
        context.connections().remove(this);
        abandonResponses();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RequestEvent event) {
        if (event instanceof BodyComplete) {
            onBodyComplete();
        } else if (event instanceof InvalidInput invalid && responseToIncompleteRequest != null) {
            onInvalidBody(invalid);
        } else {
            onRequest(event);
        }
    }

    private void onBodyComplete() {
        PendingResponse complete = responseToIncompleteRequest;
        responseToIncompleteRequest = null;
        guard.onRequestComplete();
        double nowMs = context.scheduler().now();
        double writtenAtMs = uploadMonitor.mayBeCompleteSinceMs();
        closeUploadMonitor();
        context.requestTracker()
                .onRequestComplete(
                        complete.requestId(),
                        Double.isNaN(writtenAtMs) ? nowMs : writtenAtMs,
                        context.state().maxDeadlineMs());
    }

    /** Cancels the request whose body cannot be completed; no endpoint has received the whole body. */
    private void onInvalidBody(InvalidInput invalid) {
        PendingResponse incomplete = responseToIncompleteRequest;
        context.requestTracker().onClientDisconnected(incomplete.requestId());
        incomplete.rejectInvalid(invalid.status(), invalid.reason());
    }

    private void onRequest(RequestEvent event) {
        PendingResponse response = new PendingResponse(this, context.memory());
        responses.add(response);
        context.connections().markBusy(this);
        if (!(event instanceof StreamedRequest)) {
            guard.onRequestComplete();
        }
        updateReading();
        if (event instanceof CompleteRequest complete) {
            response.ownRequest(complete.headMemory(), complete.body().length);
        } else if (event instanceof StreamedRequest streamed) {
            response.ownRequest(streamed.headMemory(), streamed.body());
        }
        if (event instanceof InvalidInput invalid) {
            response.rejectInvalid(invalid.status(), invalid.reason());
        } else if (responses.size() > MAX_PIPELINED) {
            response.rejectInvalid(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests ahead of answers");
        } else if (event instanceof StreamedRequest streamed) {
            responseToIncompleteRequest = response;
            uploadMonitor = new UploadMonitor(
                    HttpUtil.getContentLength(streamed.head(), -1L), bodyPaused, context.scheduler(), this);
            route(response, streamed.head(), NO_BODY, streamed.body());
            if (uploadMonitor != null) {
                onMayBeComplete(uploadMonitor.mayBeCompleteSinceMs());
            }
        } else if (event instanceof CompleteRequest complete) {
            route(response, complete.head(), complete.body(), null);
        }
    }

    private void route(PendingResponse response, HttpRequest request, byte[] body, StreamedRequestBody streamedBody) {
        boolean supportsChunked = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        response.setConnectionOptions(HttpUtil.isKeepAlive(request), supportsChunked);
        int queryStart = request.uri().indexOf('?');
        String path = queryStart < 0 ? request.uri() : request.uri().substring(0, queryStart);
        switch (path) {
            case "/api" -> accept(response, request, body, streamedBody);
            case "/health/ready" -> respondToHealthCheck(response);
            default -> response.respond(HttpResponses.ofText(HttpResponseStatus.NOT_FOUND, "unknown path"));
        }
    }

    private void respondToHealthCheck(PendingResponse response) {
        boolean ready = context.isReady();
        response.respond(
                ready
                        ? HttpResponses.ofText(HttpResponseStatus.OK, "ready")
                        : HttpResponses.ofText(
                                HttpResponseStatus.SERVICE_UNAVAILABLE,
                                context.state().notReadyReason()));
    }

    private void accept(PendingResponse response, HttpRequest request, byte[] body, StreamedRequestBody streamedBody) {
        double readAtMs = receivedAtMs();
        try {
            // An invalid request ends the connection before the next one is read.
            parse(request, readAtMs);
        } catch (InvalidRequestException e) {
            response.rejectInvalid(HttpResponseStatus.valueOf(e.status()), e.getMessage());
            return;
        }
        if (overLimit) {
            response.closeConnectionAfterwards();
            response.onRejected(OVERFLOW_RETRY_AFTER_MS);
            return;
        }
        // A client that already holds memory gets no more while memory is short; others are still served.
        boolean holdsMemory = responses.size() > 1 || !channel.isWritable();
        if (holdsMemory && context.memory().isShort()) {
            context.logger().log("requests of clients that hold memory are rejected", context.memory());
            response.onRejected(OVERFLOW_RETRY_AFTER_MS);
            return;
        }
        clientSentRequest = true;
        queuedRequests.add(
                new QueuedRequest(response, request, readAtMs, toOutgoingRequest(request, body, streamedBody)));
        if (streamedBody != null) {
            submitQueuedRequests();
        } else if (queuedRequests.size() == 1) {
            // Deferred until the read is complete: a disconnect of the client is only visible after the request.
            channel.eventLoop().execute(this::submitQueuedRequests);
        }
    }

    /** Returns the time since which the request that is being read may have been there. */
    private double receivedAtMs() {
        double receivedAtMs = Double.isNaN(unreadSinceMs) ? guard.bufferedSinceMs() : unreadSinceMs;
        return Double.isNaN(receivedAtMs) ? context.scheduler().now() : receivedAtMs;
    }

    /** Parses a request for the settings and the latest deadline of the current time. */
    private Request parse(HttpRequest request, double readAtMs) throws InvalidRequestException {
        FrontendState state = context.state();
        return state.requestParser().parse(new HttpRequestHead(request), readAtMs, state.maxDeadlineMs());
    }

    private void submitQueuedRequests() {
        for (QueuedRequest next = queuedRequests.poll(); next != null; next = queuedRequests.poll()) {
            // If the connection has closed in the meantime, the response has been abandoned.
            if (responses.contains(next.response())) {
                submit(next);
            }
        }
    }

    /**
     * Submits a request to the request tracker. It is parsed for the settings and the latest deadline of this time, as
     * a reload or the beginning of the shutdown may have run since it was read.
     */
    private void submit(QueuedRequest queued) {
        PendingResponse response = queued.response();
        Request request;
        try {
            request = parse(queued.head(), queued.readAtMs());
        } catch (InvalidRequestException e) {
            // It was valid when it was read, so the requests behind it were read too and the connection goes on.
            response.respond(HttpResponses.ofText(HttpResponseStatus.valueOf(e.status()), e.getMessage()));
            return;
        }
        response.setRequestId(request.id());
        boolean incomplete = queued.message().streamedBody() != null;
        Acceptance acceptance = context.requestTracker()
                .acceptOnce(request, context.endpointPool().transportFor(queued.message()), response, incomplete);
        if (acceptance != Acceptance.ACCEPTED) {
            response.setRequestId(null);
        }
        switch (acceptance) {
            case IN_FLIGHT ->
                response.rejectInvalid(
                        HttpResponseStatus.CONFLICT,
                        RequestParser.REQUEST_ID_HEADER + " is that of a request in flight");
            // Neither a rejection, which would promise that the request was not executed, nor a reason to close.
            case MAY_HAVE_EXECUTED ->
                response.respond(HttpResponses.ofText(
                        HttpResponseStatus.CONFLICT,
                        RequestParser.REQUEST_ID_HEADER + " is that of a request that may have been executed"));
            case NO_ROOM -> response.onRejected(OVERFLOW_RETRY_AFTER_MS);
            default -> {
                return;
            }
        }
    }

    /** Returns the request to forward. Modifies and reuses its headers, which are not needed afterwards. */
    private static OutgoingRequest toOutgoingRequest(
            HttpRequest request, byte[] body, StreamedRequestBody streamedBody) {
        HttpHeaders headers = request.headers();
        for (CharSequence name : HOP_BY_HOP_HEADERS) {
            headers.remove(name);
        }
        if (body.length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new OutgoingRequest(request.method(), request.uri(), headers, body, streamedBody);
    }

    // ---- streamed request body ----

    @Override
    public void setPaused(boolean paused) {
        bodyPaused = paused;
        updateReading();
        if (uploadMonitor != null) {
            uploadMonitor.setPaused(paused);
        }
    }

    @Override
    public void onBytesReceived(long totalBytes) {
        if (uploadMonitor != null) {
            uploadMonitor.onBytesReceived(totalBytes);
        }
    }

    /** Reads the input that has arrived, up to a limit, as what was read ahead of a paused body is held. */
    @Override
    public boolean readAhead() {
        return guard.readAvailable(MAX_READ_AHEAD_BYTES);
    }

    @Override
    public void onMayBeComplete(double sinceMs) {
        if (responseToIncompleteRequest != null && responseToIncompleteRequest.isAwaited()) {
            context.requestTracker()
                    .onRequestMayBeComplete(
                            responseToIncompleteRequest.requestId(),
                            sinceMs,
                            context.state().maxDeadlineMs());
        }
    }

    private void closeUploadMonitor() {
        if (uploadMonitor != null) {
            uploadMonitor.close();
            uploadMonitor = null;
        }
    }

    @Override
    public void onSinkAttached() {
        // 100 Continue is omitted while earlier responses are pending; the client sends the body anyway after a while.
        if (responses.isNext(responseToIncompleteRequest)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /** Returns whether no other request of this connection was read and has no response yet. */
    boolean isOnlyRequest(PendingResponse response) {
        return responses.size() == 1 && responses.isNext(response) && !guard.hasBufferedInput();
    }

    /**
     * Reads what the client has sent while a response was being streamed. Called right before the end of that response
     * is written, so that what the client sends after it has the whole response is not taken for older.
     */
    void readPausedInput() {
        if (!Double.isNaN(unreadSinceMs)) {
            guard.readAvailable(MAX_READ_AHEAD_BYTES);
            unreadSinceMs = Double.NaN;
        }
    }

    /**
     * Updates input buffering and auto-read. Input is read even if it has to be buffered, because a disconnect is only
     * visible after the bytes before it are read. Reading pauses for a streamed request body, whose bytes then wait in
     * the socket buffer; its client has not sent a complete request at that point. It also pauses while a response is
     * streamed whose end has not arrived: if it is truncated, the connection is closed, and the client sends again what
     * was not read.
     */
    private void updateReading() {
        boolean closing = responses.isClosing();
        boolean streaming = responses.isStreamingIncomplete();
        if (streaming && Double.isNaN(unreadSinceMs)) {
            unreadSinceMs = context.scheduler().now();
        }
        guard.setInputBuffering(!closing && (responses.size() >= MAX_PIPELINED || !channel.isWritable()));
        guard.setReading(closing || !(bodyPaused || streaming));
    }

    // ---- responses ----

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        responses.onWritabilityChanged();
        updateReading();
    }

    @Override
    public void onLastResponse(ChannelFuture written) {
        collector.stop();
        // A request that is not accepted before this process exits never will be, so clients get the time until then.
        FrontendState state = context.state();
        double minLingerMs = state.isShuttingDown()
                ? state.maxDeadlineMs() - context.scheduler().now()
                : 0;
        guard.closeAfter(written, respondedBeforeBodyEnd, minLingerMs);
    }

    @Override
    public void onReadyWritten() {
        guard.onOutput();
        if (responses.isClosing()) {
            abandonResponses();
        } else if (responses.isEmpty() && context.connections().contains(this)) {
            if (clientSentRequest) {
                context.connections().markIdle(this);
            } else {
                context.connections().markExpendable(this);
            }
            guard.onAllResponsesWritten();
            if (context.state().isClosingConnections()) {
                // The head of a streamed response may have been written before connections were to be closed.
                channel.eventLoop().execute(() -> closeIfIdle(true));
            }
        }
        updateReading();
    }

    /** Abandons all pending responses, as nothing more is written to this connection. */
    private void abandonResponses() {
        List<PendingResponse> abandoned = responses.removeAll();
        if (context.connections().contains(this)) {
            context.connections().markExpendable(this);
        }
        for (PendingResponse response : abandoned) {
            response.releaseMemory();
            if (response.isAwaited()) {
                context.requestTracker().onClientDisconnected(response.requestId());
            }
            if (response.remainingBody() != null) {
                response.remainingBody().abandon();
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // I/O errors on client connections are common, so only other exceptions are logged.
        if (!(cause instanceof IOException)) {
            context.logger().logException("client connection failed", cause);
        }
        ctx.close();
    }
}
