package martenlatch.fleet.judge;

/** The figures of the four rules that runs are judged by, as the platform's settings name them. */
public final class Rules {

    /** A cold endpoint falls if sent more than this multiple of what it can do, for {@link #FALL_MS}. */
    public static final double TIP_MULTIPLE = 3;
    /** As above. */
    public static final double FALL_MS = 1500;
    /** A final answer may come so long after its deadline. */
    public static final double ANSWER_SLACK_MS = 50;
    /** Times on sockets are this much longer than in the settings. */
    public static final double SOCKET_SLACK_MS = 50;
    /** What discovery has to tell counts as told so much later at the latest, whether or not it arrived. */
    public static final double TOLD_WITHIN_MS = 6000;

    /** What a long poll misses that falls silent counts as told so long after its wait, if that is later. */
    public static final double LONG_POLL_SLACK_MS = 2000;

    private Rules() {}
}
