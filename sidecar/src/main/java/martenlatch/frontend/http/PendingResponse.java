package martenlatch.frontend.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import martenlatch.request.EndpointResponse;
import martenlatch.request.RemainingBody;
import martenlatch.request.ResponseListener;

/** The response that one request on a connection will get. */
final class PendingResponse implements ResponseListener, RemainingBody.Receiver {

    private final ClientConnection connection;
    private final BodyMemoryBudget bodyMemory;
    /** The id of a request that was accepted, or null. */
    private String requestId;

    private boolean keepAlive;
    private boolean supportsChunks;
    /** The size of the request's body as it counts against the budget, in bytes. */
    private int bodyBytes;

    private HttpResponse response;
    /** The part of the body that is still being received, or null. */
    private RemainingBody remainingBody;
    /** Only the end of the connection ends the body. */
    private boolean endsWithConnection;

    private boolean last;

    PendingResponse(ClientConnection connection, BodyMemoryBudget bodyMemory) {
        this.connection = connection;
        this.bodyMemory = bodyMemory;
    }

    /** What the request says of the connection, and of the responses that its client understands. */
    void setConnectionOptions(boolean keepsAlive, boolean understandsChunks) {
        keepAlive = keepsAlive;
        supportsChunks = understandsChunks;
    }

    void setBodyBytes(int bytes) {
        bodyBytes = bytes;
    }

    void setRequestId(String id) {
        requestId = id;
    }

    String requestId() {
        return requestId;
    }

    /** The head and, if it is complete, the body; null until there is a response. */
    HttpResponse response() {
        return response;
    }

    RemainingBody remainingBody() {
        return remainingBody;
    }

    boolean isReady() {
        return response != null;
    }

    boolean isAwaited() {
        return requestId != null && response == null;
    }

    boolean endsWithConnection() {
        return endsWithConnection;
    }

    /** Decides, when it is written, whether it is the last on its connection. */
    void decideLast(boolean closing) {
        last = !keepAlive || closing;
    }

    boolean isLast() {
        return last;
    }

    /** No request is accepted after this one. */
    void closeConnectionAfterwards() {
        keepAlive = false;
    }

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
        } else if (supportsChunks) {
            HttpUtil.setTransferEncodingChunked(head, true);
        } else {
            endsWithConnection = true;
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

    /** Responds to what is not a request; nothing more is read from a client that sends such. */
    void rejectInvalid(HttpResponseStatus status, String reason) {
        keepAlive = false;
        connection.stopReadingRequests();
        respond(HttpResponses.ofText(status, reason));
    }

    void respond(HttpResponse finalResponse) {
        response = finalResponse;
        releaseBodyMemory();
        if (connection.stopReceivingBodyOf(this)) {
            keepAlive = false;
        }
        connection.responses().writeReady();
    }
}
