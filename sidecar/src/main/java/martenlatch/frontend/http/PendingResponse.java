package martenlatch.frontend.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RemainingBody;
import martenlatch.request.ResponseListener;

/** The response to one request of a client connection, from the arrival of the request until it is written. */
final class PendingResponse implements ResponseListener, RemainingBody.Receiver {

    private final ClientConnection connection;
    private final BodyMemoryBudget bodyMemory;
    /** The id of the request once it is accepted by the request tracker, or null. */
    private String requestId;

    private boolean keepAlive;
    private boolean supportsChunked;
    /** The size of the collected request body that is reserved in the memory budget, in bytes. */
    private int bodyBytes;

    private HttpResponse response;
    /** The part of the response body that is still being received from the endpoint, or null. */
    private RemainingBody remainingBody;
    /** Whether the end of the response body is marked only by closing the connection. */
    private boolean closeDelimited;

    /** Whether the connection closes after this response; decided when it is written. */
    private boolean lastOnConnection;

    PendingResponse(ClientConnection connection, BodyMemoryBudget bodyMemory) {
        this.connection = connection;
        this.bodyMemory = bodyMemory;
    }

    /** Sets whether the request keeps the connection alive and whether its client supports chunked responses. */
    void setConnectionOptions(boolean keepsAlive, boolean clientSupportsChunked) {
        keepAlive = keepsAlive;
        supportsChunked = clientSupportsChunked;
    }

    void setBodyBytes(int bytes) {
        bodyBytes = bytes;
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
        lastOnConnection = !keepAlive || connectionClosing;
    }

    boolean isLastOnConnection() {
        return lastOnConnection;
    }

    /** Closes the connection after this response. */
    void closeConnectionAfterwards() {
        keepAlive = false;
    }

    /** Releases the reserved memory of the request body; further calls have no effect. */
    void releaseBodyMemory() {
        bodyMemory.release(bodyBytes);
        bodyBytes = 0;
    }

    @Override
    public boolean isConnected() {
        return connection.isClientConnected();
    }

    @Override
    public void onServed(EndpointResponse endpointResponse) {
        if (endpointResponse.remainingBody() == null) {
            respond(HttpResponses.served(endpointResponse));
        } else {
            respondStreaming(endpointResponse);
        }
    }

    private void respondStreaming(EndpointResponse endpointResponse) {
        remainingBody = endpointResponse.remainingBody();
        HttpResponse head = HttpResponses.streamedHead(endpointResponse);
        if (remainingBody.length() >= 0) {
            HttpUtil.setContentLength(head, remainingBody.length());
        } else if (supportsChunked) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            closeDelimited = true;
            keepAlive = false;
        }
        respond(head);
    }

    @Override
    public void onPart(byte[] bytes) {
        connection.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
        if (!connection.isWritable()) {
            remainingBody.pause(true);
        }
    }

    @Override
    public void onEnd(boolean complete) {
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
        respond(HttpResponses.ofText(HttpResponseStatus.BAD_GATEWAY, "failed"));
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
        releaseBodyMemory();
        if (connection.stopReceivingBodyOf(this)) {
            keepAlive = false;
        }
        connection.responses().writeReady();
    }
}
