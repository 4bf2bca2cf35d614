package martenlatch.policy.api;

/** What discovery says about an endpoint. */
public enum EndpointStatus {
    /** No longer there. */
    GONE,
    /** Takes new requests. */
    READY,
    /** Finishes the requests it has and takes no new ones. */
    DRAINING
}
