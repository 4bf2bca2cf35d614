package martenlatch.request;

/**
 * Takes the final answer to a request. Exactly one of its answering methods is called, once, unless the client
 * disconnects first.
 */
public interface ResponseListener {

    /** Whether the client is still connected, by a look at its connection now. */
    default boolean isConnected() {
        return true;
    }

    /** Served: an endpoint's response, to be passed on unchanged. */
    void onServed(EndpointResponse response);

    /** An endpoint has rejected the request for what it is, with a status 4xx; no other endpoint would take it. */
    void onInvalidRequest(int status);

    /** Rejected: a retry does no harm, and may help after so many milliseconds; 0 tells no time. */
    void onRejected(double retryAfterMs);

    /** Failed; it says nothing about whether the request was executed. */
    void onFailed();
}
