package martenlatch.fleet.history;

/**
 * One observation that a part of the rig recorded during a run. The component names are part of the history's digest.
 *
 * @param atMs milliseconds since the run's start, on the rig's monotonic clock
 * @param what the kind of event
 * @param who the part that it happened at: a client, a sidecar, an endpoint or the sender of a link
 * @param whom the other part, or empty
 * @param id the id of the request, or empty
 * @param detail further data that depends on the kind
 */
public record Event(double atMs, What what, String who, String whom, String id, String detail) {

    /** Kinds of events. */
    public enum What {
        /** A client has sent a request to a sidecar; the detail is its class, its effect and its deadline in ms. */
        ASKED,
        /** A client's request has ended; the detail is the outcome. */
        ENDED,
        /** A sidecar has sent an attempt: the head of the request has entered the link to the endpoint. */
        SENT,
        /** An endpoint has received a whole request and starts it; the detail says whether the endpoint was cold. */
        RAN,
        /** An endpoint has received a whole request and rejects it. */
        TURNED_AWAY,
        /** An endpoint has written a complete response. */
        ANSWERED,
        /** Discovery has written a change to a sidecar; the detail is the state of the endpoint. */
        TOLD,
        /** The state of an endpoint in discovery's list has changed; the detail is the new state. */
        CHANGED,
        /** Discovery has handled a sidecar's call; the detail is answered or refused. */
        LIST_CALL,
        /** Discovery has accepted a long poll; the detail is its longest wait in milliseconds. */
        LONG_POLL,
        /** The connection of a long poll has ended before discovery's answer arrived. */
        LONG_POLL_ENDED,
        /** An endpoint has started; the detail is how long it stays cold, in milliseconds. */
        ENDPOINT_UP,
        /** The state of a sidecar process has changed, for example to paused, resumed, serving or ended. */
        PROCESS,
        /** A process has written a line to its log. */
        LOG,
        /** A fault begins; {@code who} is its number in the plan, {@code whom} is what it affects. */
        FAULT_BEGINS,
        /** A fault is over. */
        FAULT_ENDS,
        /** The rig was late or could not carry out an action; the detail is the delay in ms or the failure. */
        RIG
    }
}
