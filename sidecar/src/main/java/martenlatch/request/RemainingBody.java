package martenlatch.request;

/** The part of a response body that is still to come, and is passed on as it comes. */
public interface RemainingBody {

    /** Receives the parts of a body, in order, and its end, once. */
    interface Receiver {
        /** The next part; it belongs to the receiver from now on. */
        void onPart(byte[] bytes);

        /** The body has ended, complete or cut short; a client must be able to tell which. */
        void onEnd(boolean complete);
    }

    /** The length of the whole body in bytes, or -1 where only its end tells. */
    long length();

    /** From now on parts go to {@code receiver}, those first that have come already; to be called once. */
    void transferTo(Receiver receiver);

    /** Stops the body from coming, or lets it come again. */
    void pause(boolean paused);

    /** Nobody waits for it any more; no end is told. */
    void abandon();
}
