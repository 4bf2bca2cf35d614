package martenlatch.host;

/** Where the final answer to a call goes; exactly one of these is called, once, unless the client is gone. */
public interface Client {

    /** Whether it is still connected, by a look at its connection now. */
    default boolean isConnected() {
        return true;
    }

    /** Served: an endpoint's answer, to be passed on as it is. */
    void served(Answer answer);

    /** An endpoint has turned the request away for what it is, with a status 4xx; no other would take it. */
    void turnedAway(int status);

    /** Refused: trying again is harmless, and may help after so many milliseconds; 0 tells no time. */
    void refused(double coolDownMs);

    /** Failed; nothing is said of its effect. */
    void failed();
}
