package martenlatch.admin;

import martenlatch.policy.EndpointListAge;

/**
 * The state of the endpoint list in use, for operators.
 *
 * @param confirmed whether discovery has told this process every change that counts as notified
 * @param forwarding whether requests are forwarded by the list
 * @param trusted whether they are because an operator has decided so
 * @param ageMs the time since discovery last sent or confirmed the list, in milliseconds; infinite if it never did
 * @param doubt why the list is not confirmed, in words; null if it is
 */
public record EndpointListState(boolean confirmed, boolean forwarding, boolean trusted, double ageMs, String doubt) {

    /** Returns the state at this time. */
    public static EndpointListState of(EndpointListAge age, double nowMs) {
        EndpointListAge.Doubt doubt = age.doubt();
        return new EndpointListState(
                doubt == null,
                age.mayForward(nowMs),
                age.isTrusted(),
                age.ageMs(nowMs),
                doubt == null ? null : doubt.description());
    }

    /** Returns the state as a JSON object. */
    String toJson() {
        return "{\"confirmed\":" + confirmed
                + ",\"forwarding\":" + forwarding
                + ",\"trusted\":" + trusted
                + ",\"age_ms\":" + (ageMs < Double.POSITIVE_INFINITY ? String.valueOf(Math.round(ageMs)) : "null")
                + ",\"doubt\":" + (doubt == null ? "null" : "\"" + AdminResponse.escape(doubt) + "\"")
                + "}";
    }
}
