package martenlatch.frontend.http;

import martenlatch.net.MemoryBudget;
import martenlatch.net.PartQueue;
import martenlatch.request.RemainingBody;

/** A response body that has arrived and is passed on as fast as its client reads. */
final class CompleteBody implements RemainingBody {

    private final int length;
    private final PartQueue parts;
    private Receiver receiver;
    private boolean paused;
    private boolean sending;

    CompleteBody(byte[] bytes, MemoryBudget memory) {
        length = bytes.length;
        parts = new PartQueue(memory);
        parts.add(bytes);
    }

    @Override
    public long length() {
        return length;
    }

    @Override
    public boolean isComplete() {
        return true;
    }

    @Override
    public boolean isTruncated() {
        return false;
    }

    @Override
    public void transferTo(Receiver newReceiver) {
        receiver = newReceiver;
        send();
    }

    @Override
    public void setArrivalDeadline(double deadlineMs) {}

    @Override
    public void endBy(double latestMs) {}

    /** The endpoint has ended the body before this object was created. */
    @Override
    public void setEndListener(EndListener listener) {}

    @Override
    public void pause(boolean pauseRequested) {
        paused = pauseRequested;
        send();
    }

    private void send() {
        // Writing a part may change whether the client's connection is writable, which calls pause().
        if (sending || receiver == null) {
            return;
        }
        sending = true;
        while (!paused && receiver != null && !parts.isEmpty()) {
            receiver.onPart(parts.poll());
        }
        sending = false;
        if (receiver != null && parts.isEmpty()) {
            Receiver finished = receiver;
            receiver = null;
            finished.onEnd(true);
        }
    }

    @Override
    public void abandon() {
        receiver = null;
        parts.clear();
    }
}
