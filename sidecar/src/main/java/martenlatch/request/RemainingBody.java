package martenlatch.request;

/** The part of a response body that is still to arrive and is forwarded while it arrives. */
public interface RemainingBody {

    /** How a body ended that was forwarded while it arrived. */
    enum End {
        /** The whole body has arrived. */
        COMPLETE,
        /** The endpoint ended it early, or sent what is not valid. */
        TRUNCATED,
        /** It has stopped, or trickles. */
        TIMED_OUT,
        /** It was still arriving when it was not needed any more, as the client had gone. */
        INTERRUPTED,
        /** It was not read, as the client took no more or waited for an earlier response. */
        NOT_TAKEN,
        /** It was still arriving when this process was about to end. */
        PROCESS_ENDS
    }

    /** Is notified of the end of a body. */
    interface EndListener {
        /** Called once, when the body has ended on the endpoint's side or is not needed any more. */
        void onBodyEnd(End end, BodyProgress progress);
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
     * Truncates the body at this time or later, as soon as it makes no progress. Time during which it is not read, as
     * its receiver takes no more, does not count; one that has no receiver yet is truncated at this time.
     */
    void setArrivalDeadline(double deadlineMs);

    /** Truncates the body at this time, whether or not it makes progress. */
    void endBy(double latestMs);

    /** Sets who is notified of the end of the body; must be called before it can end. */
    void setEndListener(EndListener listener);

    /** Pauses or resumes reading the body. */
    void pause(boolean paused);

    /** Discards the rest of the body; the receiver is not called any more. */
    void abandon();
}
