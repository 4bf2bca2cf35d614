package martenlatch.fleet.history;

/**
 * One thing that some side of a run has seen.
 *
 * @param atMs milliseconds since the run's start, on the rig's monotonic clock
 * @param what the kind of thing
 * @param who whose: a client, a sidecar, an endpoint, a link's sender
 * @param whom the other side, or empty
 * @param id the request's, or empty
 * @param detail more, by kind
 */
public record Event(double atMs, What what, String who, String whom, String id, String detail) {

    /** Kinds of things. */
    public enum What {
        /**
         * A client has sent a request, of the class and kind of effect that the detail names, to a sidecar.
         */
        ASKED,
        /** A client's request has ended; the detail is how. */
        ENDED,
        /** A sidecar has sent a request on: its head has come into the link to the endpoint. */
        SENT,
        /** An endpoint has a whole request and begins it; the detail says whether it was cold. */
        RAN,
        /** An endpoint has a whole request and turns it away. */
        TURNED_AWAY,
        /** An endpoint has written a whole answer. */
        ANSWERED,
        /** Discovery has written a change to a sidecar; the detail is the endpoint's state. */
        TOLD,
        /** Discovery's list says something else of an endpoint; the detail is its state. */
        CHANGED,
        /** A sidecar's call to discovery has come to its turn; the detail is answered or refused. */
        LIST_CALL,
        /** Discovery has taken a call that may wait; the detail is for how long, in milliseconds. */
        LONG_POLL,
        /** An endpoint has started; for how long it is cold is in the detail, in milliseconds. */
        ENDPOINT_UP,
        /** A process: started, serving, paused, resumed, signalled, ended. */
        PROCESS,
        /** A line of a process's log. */
        LOG,
        /** A fault begins, and is over; who is its place in the plan, whom is what it hits. */
        FAULT_BEGINS,
        FAULT_ENDS,
        /** The rig itself was late, or could not do what it was to do; the detail says what. */
        RIG
    }
}
