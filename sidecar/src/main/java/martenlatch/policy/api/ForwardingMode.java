package martenlatch.policy.api;

/** What happens to new requests; nothing is forwarded while the endpoint list may lack changes that were notified. */
public enum ForwardingMode {
    /** They are forwarded. */
    FORWARD,
    /** They wait for a while, and are rejected if they may not be forwarded by then. */
    HOLD,
    /** They are rejected at once, as the host needs a decision at once. */
    REJECT
}
