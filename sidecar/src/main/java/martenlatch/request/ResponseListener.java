package martenlatch.request;

/**
 * Receives the final answer to a request. Exactly one of the {@code on...} methods is called, once, unless the client
 * disconnects first.
 */
public interface ResponseListener {

    /** Returns whether the client is connected, by checking the state of its connection now. */
    default boolean isConnected() {
        return true;
    }

    /**
     * Returns whether a response may be passed on before it is complete. If it cannot be completed then, the client's
     * connection has to be closed, and with it any other request on it.
     */
    default boolean mayStream() {
        return true;
    }

    /** Called when the request was served; the endpoint's response is passed on unchanged. */
    void onServed(EndpointResponse response);

    /** Called when an endpoint found the request invalid, with a 4xx status; other endpoints would do the same. */
    void onInvalidRequest(int status);

    /** Called when the request was rejected unexecuted; a retry is safe after {@code retryAfterMs}, 0 if unknown. */
    void onRejected(double retryAfterMs);

    /** Called when the request failed; it is unknown whether it was executed. */
    void onFailed();
}
