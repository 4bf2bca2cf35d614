package martenlatch.load;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** Where wishes come from, in order of their intended times. */
public interface Arrivals extends Closeable {

    /** The next wish, or null after the last. */
    Arrival next() throws IOException;

    /** How long it goes on, in seconds. */
    double seconds();

    @Override
    default void close() throws IOException {
        // Most hold nothing.
        return;
    }

    /** Arrivals by a schedule, each of a class drawn by the classes' shares; all from one seed. */
    static Arrivals drawn(Schedule schedule, List<LoadClass> kinds, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double shares = kinds.stream().mapToDouble(LoadClass::share).sum();
        return new Arrivals() {
            private long count;

            @Override
            public Arrival next() {
                long at = schedule.next();
                if (at < 0) {
                    return null;
                }
                double drawn = random.nextDouble() * shares;
                int which = 0;
                while (which < kinds.size() - 1 && drawn >= kinds.get(which).share()) {
                    drawn -= kinds.get(which++).share();
                }
                LoadClass kind = kinds.get(which);
                return new Arrival(count++, at, kind, null, kind.bodyBytes(), kind.deadlineMs());
            }

            @Override
            public double seconds() {
                return schedule.seconds();
            }
        };
    }
}
