package martenlatch.host;

/** What is still to come of an answer that is passed on as it comes. */
public interface Rest {

    /** Takes the parts of an answer, in order, and its end, once. */
    interface Taker {
        /** The next part; it is the taker's from then on. */
        void part(byte[] bytes);

        /** It ends, whole or cut short; a client must be able to tell which. */
        void end(boolean whole);
    }

    /** The length of the whole answer in bytes, or -1 where only its end tells. */
    long length();

    /** From now on the parts go to {@code taker}, those first that have come already; to be called once. */
    void to(Taker taker);

    /** Stops the answer from coming, or lets it come again. */
    void pause(boolean paused);

    /** Nobody waits for it any more; no end is told. */
    void abandon();
}
