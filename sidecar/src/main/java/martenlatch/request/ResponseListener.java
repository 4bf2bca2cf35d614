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

    /** Called when the request was served; the endpoint's response is passed on unchanged. */
    void onServed(EndpointResponse response);

    /** Called when an endpoint found the request invalid, with a 4xx status; other endpoints would do the same. */
    void onInvalidRequest(int status);

    /** Called when the request was rejected unexecuted; a retry is safe after {@code retryAfterMs}, 0 if unknown. */
    void onRejected(double retryAfterMs);

    /** Called when the request failed; it is unknown whether it was executed. */
    void onFailed();
}
