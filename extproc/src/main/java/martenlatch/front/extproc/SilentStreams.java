package martenlatch.front.extproc;

import martenlatch.request.Scheduler;

/**
 * Ends streams that are silent for too long. All may be silent equally long, so they stand in the order in
 * which they are due, and one timer for the first of them does: a timer for each would be the dearest thing
 * that most consultations need.
 */
final class SilentStreams {

    /** A stream's place in the order. */
    static final class Place {
        private final Runnable end;
        private Place before;
        private Place after;
        private double due;

        /** A place that is not taken; {@code end} runs when it was held for too long. */
        Place(Runnable end) {
            this.end = end;
        }

        private boolean isTaken() {
            return before != null;
        }
    }

    private final Scheduler time;
    private final double limitMs;
    /** Stands before the first and after the last. */
    private final Place ring = new Place(null);

    private boolean timed;

    SilentStreams(Scheduler time, double limitMs) {
        this.time = time;
        this.limitMs = limitMs;
        ring.before = ring;
        ring.after = ring;
    }

    /** From now on it must say something within the limit. */
    void watch(Place place) {
        forget(place);
        place.due = time.now() + limitMs;
        place.before = ring.before;
        place.after = ring;
        ring.before.after = place;
        ring.before = place;
        setTimer();
    }

    /** It has spoken, or is over. */
    void forget(Place place) {
        if (place.isTaken()) {
            place.before.after = place.after;
            place.after.before = place.before;
            place.before = null;
            place.after = null;
        }
    }

    private void setTimer() {
        if (!timed && ring.after != ring) {
            timed = true;
            time.after(ring.after.due - time.now(), this::endDue);
        }
    }

    private void endDue() {
        timed = false;
        double now = time.now();
        while (ring.after != ring && ring.after.due <= now) {
            Place due = ring.after;
            forget(due);
            due.end.run();
        }
        setTimer();
    }
}
