package martenlatch.load;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;

/** A source of arrivals, in order of their intended times. */
public interface Arrivals extends Closeable {

    /** Returns the next arrival, or null after the last one. */
    Arrival next() throws IOException;

    /** Returns the planned duration, in seconds. */
    double seconds();

    @Override
    default void close() throws IOException {
        // Most sources hold no resources.
        return;
    }

    /**
     * Returns the arrivals of a schedule; the class of each is drawn at random, in proportion to the classes' shares.
     */
    static Arrivals drawn(Schedule schedule, List<LoadClass> classes, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double totalShare = classes.stream().mapToDouble(LoadClass::share).sum();
        return new Arrivals() {
            private long count;

            @Override
            public Arrival next() {
                long intendedNanos = schedule.next();
                if (intendedNanos < 0) {
                    return null;
                }
                double drawn = random.nextDouble() * totalShare;
                int index = 0;
                while (index < classes.size() - 1 && drawn >= classes.get(index).share()) {
                    drawn -= classes.get(index++).share();
                }
                LoadClass loadClass = classes.get(index);
                return new Arrival(
                        count++, intendedNanos, loadClass, null, loadClass.bodyBytes(), loadClass.deadlineMs());
            }

            @Override
            public double seconds() {
                return schedule.seconds();
            }
        };
    }
}
