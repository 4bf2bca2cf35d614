package martenlatch.frontend.extproc;

import martenlatch.request.Scheduler;

/**
 * Ends streams that are silent for too long. The limit is the same for all, so they are kept in the order in which they
 * are due, with one timer for the first of them: a timer for each would be the most expensive part of most streams.
 */
final class IdleStreamMonitor {

    /** A stream that may be watched; a node of a doubly linked list while it is. */
    static final class Entry {
        private final Runnable onTimeout;
        private Entry previous;
        private Entry next;
        private double dueMs;

        /** Creates an entry that is not watched; {@code onTimeout} runs when it was silent for too long. */
        Entry(Runnable onTimeout) {
            this.onTimeout = onTimeout;
        }

        private boolean isWatched() {
            return previous != null;
        }
    }

    private final Scheduler scheduler;
    private final double limitMs;
    /** Linked before the first entry and after the last. */
    private final Entry sentinel = new Entry(null);

    private boolean timerRunning;

    IdleStreamMonitor(Scheduler scheduler, double limitMs) {
        this.scheduler = scheduler;
        this.limitMs = limitMs;
        sentinel.previous = sentinel;
        sentinel.next = sentinel;
    }

    /** From now on the stream must send something within the limit. */
    void watch(Entry entry) {
        forget(entry);
        entry.dueMs = scheduler.now() + limitMs;
        entry.previous = sentinel.previous;
        entry.next = sentinel;
        sentinel.previous.next = entry;
        sentinel.previous = entry;
        startTimer();
    }

    /** The stream has sent something, or has ended. */
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
            scheduler.after(sentinel.next.dueMs - scheduler.now(), this::endDue);
        }
    }

    private void endDue() {
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
