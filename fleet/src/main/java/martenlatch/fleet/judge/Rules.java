package martenlatch.fleet.judge;

/** Limits of the rules that every run is checked against. */
public final class Rules {

    /** A cold endpoint fails if it gets more than this multiple of what it can serve, for {@link #FALL_MS}. */
    public static final double TIP_MULTIPLE = 3;
    /** The window in which {@link #TIP_MULTIPLE} applies. */
    public static final double FALL_MS = 1500;
    /** A final answer may arrive this long after the deadline of its request. */
    public static final double ANSWER_SLACK_MS = 50;
    /** Times measured on sockets may exceed those in the settings by this much. */
    public static final double SOCKET_SLACK_MS = 50;
    /** A sidecar counts as notified of a change at most this long after discovery had it, whether or not it arrived. */
    public static final double NOTIFIED_WITHIN_MS = 6000;

    /** A sidecar may take this long after the wait of a long poll to notice that discovery left it unanswered. */
    public static final double LONG_POLL_SLACK_MS = 2000;

    private Rules() {}
}
