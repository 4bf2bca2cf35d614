package martenlatch.request;

/** The part of a response body that is still to arrive and is forwarded while it arrives. */
public interface RemainingBody {

    /** How a body ended that was forwarded while it arrived. */
    enum End {
        /** The whole body has arrived. */
        COMPLETE,
        /** The endpoint ended it early, or sent what is not valid. */
        TRUNCATED,
        /** It had not arrived by its deadline, or had stopped arriving. */
        TIMED_OUT,
        /** It was still arriving when it was not needed any more, as the client had gone. */
        INTERRUPTED,
        /** It was not read, as the client took no more or waited for an earlier response. */
        NOT_TAKEN
    }

    /** Is notified of the end of a body. */
    interface EndListener {
        /** Called once, when the body has ended on the endpoint's side or is not needed any more. */
        void onBodyEnd(End end);
    }

    /** Receives the parts of a body in order, then its end once. */
    interface Receiver {
        /** Called with the next part; the receiver owns the array from now on. */
        void onPart(byte[] bytes);

        /** Called when the body has ended, complete or truncated; the client must be able to tell the difference. */
        void onEnd(boolean complete);
    }

    /** Returns the length of the whole body in bytes, or -1 if it is not known before the end. */
    long length();

    /** Passes the parts that have arrived and all further ones to {@code receiver}; must be called only once. */
    void transferTo(Receiver receiver);

    /** Returns whether the whole body has arrived, though perhaps not all of it was passed on. */
    boolean isComplete();

    /** Returns whether the body has ended and will never be complete. */
    boolean isTruncated();

    /**
     * Truncates the body if it has not arrived by this time. Time during which it is not read, as its receiver takes no
     * more, does not count.
     */
    void setArrivalDeadline(double deadlineMs);

    /** Sets who is notified of the end of the body; must be called before it can end. */
    void setEndListener(EndListener listener);

    /** Pauses or resumes reading the body. */
    void pause(boolean paused);

    /** Discards the rest of the body; the receiver is not called any more. */
    void abandon();
}
