package martenlatch.load;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The intended times of all arrivals. They depend on the shapes and the seed only, never on the outcome of a request
 * (an open-loop load). Evenly spaced arrivals occur where the expected count reaches the next whole number; those of a
 * Poisson process occur where it reaches the next sum of exponential gaps (time change of a unit Poisson process).
 */
public final class Schedule {

    /** Bisections that narrow an interval of hours to less than a nanosecond. */
    private static final int MAX_BISECTIONS = 64;

    private static final double NANOS_PER_SECOND = 1e9;

    private final List<Shape> shapes;
    private final SplittableRandom random;
    private final boolean poisson;
    private int shapeIndex;
    private double shapeStartSeconds;
    /** Expected number of arrivals in the shapes before the current one. */
    private double expectedBefore;

    /** Expected number of arrivals up to the last one drawn. */
    private double expectedReached;

    /**
     * Creates a schedule.
     *
     * @param shapes rates over time, one after the other
     * @param poisson whether arrivals form a Poisson process; else they are evenly spaced
     */
    public Schedule(List<Shape> shapes, boolean poisson, long seed) {
        this.shapes = List.copyOf(shapes);
        this.poisson = poisson;
        random = new SplittableRandom(seed);
        if (this.shapes.stream().mapToDouble(s -> s.expected(s.seconds())).sum() <= 0) {
            throw new IllegalArgumentException("shapes must have a rate above 0 but their rates are all 0");
        }
    }

    /** Returns the total duration of all shapes, in seconds. */
    public double seconds() {
        return shapes.stream().mapToDouble(Shape::seconds).sum();
    }

    /** Returns the intended time of the next arrival in nanoseconds since the start, or -1 after the last one. */
    public long next() {
        expectedReached += poisson ? -Math.log(1 - random.nextDouble()) : 1;
        while (shapeIndex < shapes.size()) {
            Shape shape = shapes.get(shapeIndex);
            double whole = shape.expected(shape.seconds());
            if (expectedReached - expectedBefore <= whole) {
                return (long)
                        ((shapeStartSeconds + timeOf(shape, expectedReached - expectedBefore)) * NANOS_PER_SECOND);
            }
            expectedBefore += whole;
            shapeStartSeconds += shape.seconds();
            shapeIndex++;
        }
        return -1;
    }

    /**
     * Returns the time, in seconds since the start of a shape, at which its expected count reaches {@code expected}.
     */
    private static double timeOf(Shape shape, double expected) {
        if (shape instanceof Shape.Constant constant) {
            return expected / constant.rate();
        }
        double low = 0;
        double high = shape.seconds();
        for (int i = 0; i < MAX_BISECTIONS && low < high; i++) {
            double middle = (low + high) / 2;
            if (shape.expected(middle) < expected) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }
}
