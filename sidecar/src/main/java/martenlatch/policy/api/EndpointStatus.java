package martenlatch.policy.api;

/** The status of an endpoint, as listed by discovery. */
public enum EndpointStatus {
    /** No longer listed. */
    GONE,
    /** Accepts new requests. */
    READY,
    /** Finishes its pending requests and accepts no new ones. */
    DRAINING
}
