package martenlatch.frontend.extproc;

import martenlatch.request.Scheduler;

/**
 * Ends streams that are silent for too long. All streams have the same time-out, so they are kept in a list in order of
 * expiry with one timer for the first. A timer per stream would be the most expensive part of most streams.
 */
final class IdleStreamMonitor {

    /** A stream that can be watched; while it is, the entry is a node of a doubly linked list. */
    static final class Entry {
        private final Runnable onTimeout;
        private Entry previous;
        private Entry next;
        private double dueMs;

        /** Creates an entry that is not watched yet; {@code onTimeout} runs when its time-out expires. */
        Entry(Runnable onTimeout) {
            this.onTimeout = onTimeout;
        }

        private boolean isWatched() {
            return previous != null;
        }
    }

    private final Scheduler scheduler;
    private final double timeoutMs;
    /** Precedes the first entry and follows the last one. */
    private final Entry sentinel = new Entry(null);

    private boolean timerRunning;

    IdleStreamMonitor(Scheduler scheduler, double timeoutMs) {
        this.scheduler = scheduler;
        this.timeoutMs = timeoutMs;
        sentinel.previous = sentinel;
        sentinel.next = sentinel;
    }

    /** Starts or restarts the stream's time-out. */
    void watch(Entry entry) {
        forget(entry);
        entry.dueMs = scheduler.now() + timeoutMs;
        entry.previous = sentinel.previous;
        entry.next = sentinel;
        sentinel.previous.next = entry;
        sentinel.previous = entry;
        startTimer();
    }

    /** Stops watching a stream, which has sent a message or has ended; does nothing if it is not watched. */
    void forget(Entry entry) {
        if (entry.isWatched()) {
            entry.previous.next = entry.next;
            entry.next.previous = entry.previous;
            entry.previous = null;
            entry.next = null;
        }
    }

    private void startTimer() {
        if (!timerRunning && sentinel.next != sentinel) {
            timerRunning = true;
            scheduler.after(sentinel.next.dueMs - scheduler.now(), this::expireDue);
        }
    }

    private void expireDue() {
        timerRunning = false;
        double nowMs = scheduler.now();
        while (sentinel.next != sentinel && sentinel.next.dueMs <= nowMs) {
            Entry due = sentinel.next;
            forget(due);
            due.onTimeout.run();
        }
        startTimer();
    }
}
