package martenlatch.load;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The intended times of all arrivals, drawn from shapes and a seed and from nothing else: what becomes of a
 * request has no part in when the next is sent. Evenly spaced, each arrival stands where the expected number
 * reaches the next whole one; as a Poisson process, where it reaches the next sum of exponential gaps (time
 * change of a unit Poisson process).
 */
public final class Schedule {

    /** Halvings of a stretch of hours that come below a nanosecond. */
    private static final int HALVINGS = 64;

    private static final double NANOS = 1e9;

    private final List<Shape> shapes;
    private final SplittableRandom random;
    private final boolean poisson;
    private int at;
    private double begins;
    /** Expected arrivals in the shapes before this one. */
    private double before;

    private double reached;

    /**
     * A schedule with nothing drawn yet.
     *
     * @param shapes one after the other
     * @param poisson whether gaps are drawn, or even
     */
    public Schedule(List<Shape> shapes, boolean poisson, long seed) {
        this.shapes = List.copyOf(shapes);
        this.poisson = poisson;
        random = new SplittableRandom(seed);
        if (this.shapes.stream().mapToDouble(s -> s.expected(s.seconds())).sum() <= 0) {
            throw new IllegalArgumentException("shapes must send something but their rates are all 0");
        }
    }

    /** How long all shapes last together, in seconds. */
    public double seconds() {
        return shapes.stream().mapToDouble(Shape::seconds).sum();
    }

    /** The next arrival's intended time in nanoseconds since the start, or -1 after the last. */
    public long next() {
        reached += poisson ? -Math.log(1 - random.nextDouble()) : 1;
        while (at < shapes.size()) {
            Shape shape = shapes.get(at);
            double whole = shape.expected(shape.seconds());
            if (reached - before <= whole) {
                return (long) ((begins + when(shape, reached - before)) * NANOS);
            }
            before += whole;
            begins += shape.seconds();
            at++;
        }
        return -1;
    }

    private static double when(Shape shape, double expected) {
        if (shape instanceof Shape.Constant constant) {
            return expected / constant.rate();
        }
        double low = 0;
        double high = shape.seconds();
        for (int i = 0; i < HALVINGS && low < high; i++) {
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
