package martenlatch.frontend.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import martenlatch.net.MemoryBudget;
import martenlatch.net.MemoryBudget.Use;
import martenlatch.net.PartQueue;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RemainingBody;
import martenlatch.request.ResponseListener;
import martenlatch.upstream.StreamedRequestBody;

/** The response to one request of a client connection, from the arrival of the request until it is written. */
final class PendingResponse implements ResponseListener, RemainingBody.Receiver {

    /** The memory that a response takes besides its body: its head and the objects around it. */
    private static final int RESPONSE_OVERHEAD_BYTES = 512;

    private final ClientConnection connection;
    private final MemoryBudget memory;
    /** The id of the request once it is accepted by the request tracker, or null. */
    private String requestId;

    private boolean keepAlive;
    private boolean supportsChunked;
    /** The headers of the request, whose memory is reserved; null if there are none or it is released. */
    private RequestHeaders requestHeaders;
    /** The size of the collected request body that is reserved in the memory budget, in bytes. */
    private int bodyBytes;
    /** The streamed body of the request, whose waiting parts belong to this response; null if there is none. */
    private StreamedRequestBody streamedBody;
    /** The size of the response that is reserved in the memory budget, in bytes. */
    private int responseBytes;

    private HttpResponse response;
    /** The part of the response body that is still being received from the endpoint, or null. */
    private RemainingBody remainingBody;
    /** The number of bytes of that body that were passed to the channel. */
    private long streamedBytes;
    /** Whether the end of the response body is marked only by closing the connection. */
    private boolean closeDelimited;

    /** Whether the connection closes after this response; decided when it is written. */
    private boolean lastOnConnection;

    PendingResponse(ClientConnection connection, MemoryBudget memory) {
        this.connection = connection;
        this.memory = memory;
    }

    /** Sets whether the request keeps the connection alive and whether its client supports chunked responses. */
    void setConnectionOptions(boolean keepsAlive, boolean clientSupportsChunked) {
        keepAlive = keepsAlive;
        supportsChunked = clientSupportsChunked;
    }

    /** Takes over the memory of a request whose body is complete. */
    void ownRequest(RequestHeaders headers, int collectedBodyBytes) {
        requestHeaders = headers;
        bodyBytes = collectedBodyBytes;
    }

    /** Takes over the memory of a request whose body is streamed. */
    void ownRequest(RequestHeaders headers, StreamedRequestBody body) {
        requestHeaders = headers;
        streamedBody = body;
    }

    void setRequestId(String id) {
        requestId = id;
    }

    /** Returns the id of the request, or null if it was not accepted. */
    String requestId() {
        return requestId;
    }

    /** Returns the head, with the body if that is complete; null until the response is ready. */
    HttpResponse response() {
        return response;
    }

    /** Returns the part of the body that is still being received, or null. */
    RemainingBody remainingBody() {
        return remainingBody;
    }

    /** Returns whether the response can be written. */
    boolean isReady() {
        return response != null;
    }

    /** Returns whether the request was accepted and has no response yet. */
    boolean isAwaited() {
        return requestId != null && response == null;
    }

    /** Returns whether the end of the body is marked only by closing the connection. */
    boolean isCloseDelimited() {
        return closeDelimited;
    }

    /** Decides whether this is the last response on its connection; called immediately before it is written. */
    void decideLastOnConnection(boolean connectionClosing) {
        lastOnConnection = !keepAlive || closeDelimited || connectionClosing;
    }

    boolean isLastOnConnection() {
        return lastOnConnection;
    }

    /** Closes the connection after this response. */
    void closeConnectionAfterwards() {
        keepAlive = false;
    }

    /** Releases the memory of the request and of the response; further calls have no effect. */
    void releaseMemory() {
        releaseRequestMemory();
        memory.release(Use.RESPONSE, responseBytes);
        responseBytes = 0;
    }

    private void releaseRequestMemory() {
        if (requestHeaders != null) {
            requestHeaders.release();
            requestHeaders = null;
        }
        memory.release(Use.REQUEST_BODY, bodyBytes);
        bodyBytes = 0;
        if (streamedBody != null) {
            StreamedRequestBody released = streamedBody;
            streamedBody = null;
            released.abort();
        }
    }

    @Override
    public boolean isConnected() {
        return connection.isClientConnected();
    }

    @Override
    public void onServed(EndpointResponse endpointResponse) {
        RemainingBody arriving = endpointResponse.remainingBody();
        byte[] complete = endpointResponse.body();
        if (arriving != null) {
            respondStreaming(endpointResponse, arriving);
        } else if (complete.length > PartQueue.MAX_SLICE_BYTES) {
            respondStreaming(endpointResponse, new CompleteBody(complete, memory));
        } else {
            respond(HttpResponses.served(endpointResponse));
        }
    }

    private void respondStreaming(EndpointResponse endpointResponse, RemainingBody body) {
        remainingBody = body;
        HttpResponse head = HttpResponses.streamedHead(endpointResponse);
        if (remainingBody.length() >= 0) {
            HttpUtil.setContentLength(head, remainingBody.length());
        } else if (supportsChunked) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            closeDelimited = true;
        }
        respond(head);
    }

    @Override
    public boolean mayStream() {
        return connection.isOnlyRequest(this);
    }

    /** Replaces a response whose body was truncated before anything of it was written by a failure. */
    void failIfTruncated() {
        if (remainingBody != null && remainingBody.isTruncated()) {
            remainingBody = null;
            closeDelimited = false;
            response = HttpResponses.failed();
        }
    }

    @Override
    public void onPart(byte[] bytes) {
        streamedBytes += bytes.length;
        if (streamedBytes == remainingBody.length()) {
            connection.readPausedInput();
        }
        connection.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        if (!connection.isWritable()) {
            remainingBody.pause(true);
        }
    }

    @Override
    public void onEnd(boolean complete) {
        if (complete) {
            connection.readPausedInput();
        }
        RemainingBody ended = remainingBody;
        remainingBody = null;
        if (!connection.responses().onStreamEnded(this, complete)) {
            ended.abandon();
        }
    }

    @Override
    public void onInvalidRequest(int status) {
        rejectInvalid(HttpResponseStatus.valueOf(status), "turned away");
    }

    @Override
    public void onRejected(double retryAfterMs) {
        respond(HttpResponses.rejected(retryAfterMs));
    }

    @Override
    public void onFailed() {
        respond(HttpResponses.failed());
    }

    /** Rejects an invalid request and stops reading from its connection. */
    void rejectInvalid(HttpResponseStatus status, String reason) {
        keepAlive = false;
        connection.stopReadingRequests();
        respond(HttpResponses.ofText(status, reason));
    }

    /** Sets the response and writes it as soon as the responses before it are written. */
    void respond(HttpResponse finalResponse) {
        response = finalResponse;
        releaseRequestMemory();
        responseBytes = RESPONSE_OVERHEAD_BYTES
                + (finalResponse instanceof FullHttpResponse full
                        ? full.content().readableBytes()
                        : 0);
        memory.reserve(Use.RESPONSE, responseBytes);
        if (connection.stopReceivingBodyOf(this)) {
            keepAlive = false;
        }
        connection.responses().writeReady();
    }
}
