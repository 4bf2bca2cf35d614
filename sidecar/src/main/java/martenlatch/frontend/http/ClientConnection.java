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
import io.netty.handler.codec.http.HttpRequestDecoder;
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
import martenlatch.upstream.OutgoingRequest;
import martenlatch.upstream.StreamedRequestBody;

/** One connection of a client: accepts its requests, and has their responses written in order. */
final class ClientConnection extends SimpleChannelInboundHandler<RequestEvent>
        implements StreamedRequestBody.Source, ResponseQueue.Listener {

    /** Requests that a client may send before it has read their responses. */
    private static final int MAX_PIPELINED = 8;

    private static final double OVERFLOW_RETRY_AFTER_MS = 1000;
    private static final byte[] NO_BODY = new byte[0];
    /** Headers that concern one connection only. */
    private static final List<CharSequence> HOP_BY_HOP = List.of(
            HttpHeaderNames.CONNECTION,
            "proxy-connection",
            "keep-alive",
            HttpHeaderNames.TE,
            HttpHeaderNames.TRAILER,
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.UPGRADE,
            HttpHeaderNames.EXPECT);

    /** A request that was read and is not handed to the request tracker yet. */
    private record Arrival(PendingResponse response, Request request, OutgoingRequest message) {}

    private final SocketChannel channel;
    private final FrontendContext context;
    private final ConnectionGuard guard;
    private final RequestBodyCollector collector;
    private final ResponseQueue responses;
    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    /** There is no room for this connection: its requests are rejected. */
    private boolean surplus;

    private boolean hasSentRequest;
    /** The response to the request whose body is still being received, or null. */
    private PendingResponse receiving;

    private boolean bodyPaused;
    /** A request got its response before its body was complete. */
    private boolean bodyCutShort;

    ClientConnection(SocketChannel channel, FrontendContext context) {
        this.channel = channel;
        this.context = context;
        guard = new ConnectionGuard(channel);
        collector = new RequestBodyCollector(guard, context.bodyMemory(), this);
        responses = new ResponseQueue(channel, context.state(), this);
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(guard, new HttpRequestDecoder(), new HttpResponseEncoder(), collector, this);
    }

    ResponseQueue responses() {
        return responses;
    }

    boolean hasPendingResponses() {
        return !responses.isEmpty();
    }

    /** Reads what has arrived and was not read yet. */
    void readNow() {
        guard.readNow();
    }

    void close() {
        channel.close();
    }

    /** Closes the connection if nobody waits for anything on it, after a last look at what has arrived. */
    void closeIfIdle(boolean letRequestFinish) {
        if (isIdle(letRequestFinish)) {
            guard.readNow();
        }
        if (isIdle(letRequestFinish)) {
            channel.close();
        }
    }

    private boolean isIdle(boolean letRequestFinish) {
        boolean sendsRequest = letRequestFinish && guard.isInRequest();
        return responses.isEmpty() && !responses.isClosing() && !sendsRequest;
    }

    /** Whether the client is still connected, by a look at the connection now. */
    boolean isClientConnected() {
        if (!bodyPaused) {
            guard.readNow();
        }
        return channel.isActive();
    }

    boolean isWritable() {
        return channel.isWritable();
    }

    void write(HttpContent content) {
        channel.writeAndFlush(content);
    }

    /** Reads no more requests: what the client sent is not HTTP, or not valid. */
    void stopReadingRequests() {
        collector.stop();
        guard.ignoreInput();
    }

    /** If the body of this response's request is still being received: the rest of it is of no use any more. */
    boolean stopReceivingBodyOf(PendingResponse response) {
        if (receiving != response) {
            return false;
        }
        receiving = null;
        bodyCutShort = true;
        collector.stop();
        return true;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        surplus = !context.connections().add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        context.connections().remove(this);
        abandonResponses();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, RequestEvent event) {
        if (event instanceof BodyComplete) {
            onBodyComplete();
        } else if (event instanceof InvalidInput invalid && receiving != null) {
            onInvalidBody(invalid);
        } else {
            onRequest(event);
        }
    }

    private void onBodyComplete() {
        PendingResponse complete = receiving;
        receiving = null;
        guard.onRequestComplete();
        context.requestTracker()
                .onRequestComplete(complete.requestId(), context.state().maxDeadlineMs());
    }

    /** The body will not become complete: no endpoint has received all of it. */
    private void onInvalidBody(InvalidInput invalid) {
        PendingResponse incomplete = receiving;
        context.requestTracker().onClientDisconnected(incomplete.requestId());
        incomplete.rejectInvalid(invalid.status(), invalid.reason());
    }

    private void onRequest(RequestEvent event) {
        PendingResponse response = new PendingResponse(this, context.bodyMemory());
        responses.add(response);
        context.connections().markBusy(this);
        if (!(event instanceof StreamedRequest)) {
            guard.onRequestComplete();
        }
        updateReading();
        if (event instanceof CompleteRequest complete) {
            response.setBodyBytes(complete.body().length);
        }
        if (event instanceof InvalidInput invalid) {
            response.rejectInvalid(invalid.status(), invalid.reason());
        } else if (responses.size() > MAX_PIPELINED) {
            response.rejectInvalid(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests ahead of answers");
        } else if (event instanceof StreamedRequest streamed) {
            receiving = response;
            route(response, streamed.head(), NO_BODY, streamed.body());
        } else if (event instanceof CompleteRequest complete) {
            route(response, complete.head(), complete.body(), null);
        }
    }

    private void route(PendingResponse response, HttpRequest request, byte[] body, StreamedRequestBody streamedBody) {
        boolean supportsChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        response.setConnectionOptions(HttpUtil.isKeepAlive(request), supportsChunks);
        int query = request.uri().indexOf('?');
        String path = query < 0 ? request.uri() : request.uri().substring(0, query);
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
        Request accepted;
        try {
            accepted = parse(request);
        } catch (InvalidRequestException e) {
            response.rejectInvalid(HttpResponseStatus.valueOf(e.status()), e.getMessage());
            return;
        }
        if (surplus) {
            response.closeConnectionAfterwards();
            response.onRejected(OVERFLOW_RETRY_AFTER_MS);
            return;
        }
        hasSentRequest = true;
        arrivals.add(new Arrival(response, accepted, outgoing(request, body, streamedBody)));
        if (streamedBody != null) {
            handOverArrivals();
        } else if (arrivals.size() == 1) {
            // Not while the connection is being read: a disconnect of the client shows only behind the request.
            channel.eventLoop().execute(this::handOverArrivals);
        }
    }

    private Request parse(HttpRequest request) throws InvalidRequestException {
        FrontendState state = context.state();
        return state.requestParser()
                .parse(new HttpRequestHead(request), context.scheduler().now(), state.maxDeadlineMs());
    }

    private void handOverArrivals() {
        for (Arrival next = arrivals.poll(); next != null; next = arrivals.poll()) {
            // If the connection has ended in the meantime, nobody waits for the response.
            if (responses.contains(next.response())) {
                handOver(next);
            }
        }
    }

    private void handOver(Arrival arrival) {
        Request request = arrival.request();
        if (context.requestTracker().isPending(request.id())) {
            arrival.response()
                    .rejectInvalid(
                            HttpResponseStatus.CONFLICT,
                            RequestParser.REQUEST_ID_HEADER + " is that of a request in hand");
            return;
        }
        arrival.response().setRequestId(request.id());
        boolean incomplete = arrival.message().streamedBody() != null;
        context.requestTracker()
                .accept(
                        request,
                        context.endpointPool().transportFor(arrival.message()),
                        arrival.response(),
                        incomplete);
    }

    /** The request as it is forwarded; its own headers are reused, as nobody else needs them any more. */
    private static OutgoingRequest outgoing(HttpRequest request, byte[] body, StreamedRequestBody streamedBody) {
        HttpHeaders headers = request.headers();
        for (CharSequence name : HOP_BY_HOP) {
            headers.remove(name);
        }
        if (body.length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new OutgoingRequest(request.method(), request.uri(), headers, body, streamedBody);
    }

    // ---- the body that is being received ----

    @Override
    public void setPaused(boolean paused) {
        bodyPaused = paused;
        updateReading();
    }

    @Override
    public void onSinkAttached() {
        // Not among the responses to earlier requests: the client goes on by itself after a while.
        if (responses.isNext(receiving)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    /**
     * Input is read in any case, to see the client's disconnect behind it; only a streamed body has to wait in the
     * system, and a client that is not read in the middle of a body has sent no request yet.
     */
    private void updateReading() {
        boolean closing = responses.isClosing();
        guard.setHolding(!closing && (responses.size() >= MAX_PIPELINED || !channel.isWritable()));
        channel.config().setAutoRead(closing || !bodyPaused);
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
        // What was not accepted by the end of the process never will be: until then no client is hurried.
        FrontendState state = context.state();
        double minLingerMs = state.isShuttingDown()
                ? state.maxDeadlineMs() - context.scheduler().now()
                : 0;
        guard.closeAfter(written, bodyCutShort, minLingerMs);
    }

    @Override
    public void onReadyWritten() {
        if (responses.isClosing()) {
            abandonResponses();
        } else if (responses.isEmpty() && context.connections().contains(this)) {
            if (hasSentRequest) {
                context.connections().markIdle(this);
            } else {
                context.connections().markExpendable(this);
            }
            guard.onAllAnswered();
        }
        updateReading();
    }

    /** No more is written to this connection: the other requests on it have nobody to respond to. */
    private void abandonResponses() {
        List<PendingResponse> abandoned = responses.removeAll();
        if (context.connections().contains(this)) {
            context.connections().markExpendable(this);
        }
        for (PendingResponse response : abandoned) {
            response.releaseBodyMemory();
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
        // Connections of clients break all the time; only what is not the network's doing is worth a line.
        if (!(cause instanceof IOException)) {
            context.logger().logException("connection of a client", cause);
        }
        ctx.close();
    }
}
