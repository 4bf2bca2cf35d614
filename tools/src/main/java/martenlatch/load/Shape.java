package martenlatch.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * How a rate runs over a stretch of time, as arrivals expected since its start. No I/O, no clock; times are
 * seconds since the shape's start, rates are arrivals a second.
 */
public sealed interface Shape {

    /** How long it lasts, in seconds. */
    double seconds();

    /** Arrivals expected from its start until then; grows with time, and begins at 0. */
    double expected(double seconds);

    /** One rate all the time. */
    record Constant(double rate, double seconds) implements Shape {
        public Constant {
            check("rate", rate, 0);
            check("seconds", seconds, Double.MIN_VALUE);
        }

        @Override
        public double expected(double at) {
            return rate * at;
        }
    }

    /** From one rate to another in a straight line. */
    record Ramp(double from, double to, double seconds) implements Shape {
        public Ramp {
            check("from", from, 0);
            check("to", to, 0);
            check("seconds", seconds, Double.MIN_VALUE);
        }

        @Override
        public double expected(double at) {
            return from * at + (to - from) * at * at / (2 * seconds);
        }
    }

    /**
     * From one rate to another in equally long steps, the first at {@code from} and the last at {@code to}.
     */
    record Steps(double from, double to, int steps, double seconds) implements Shape {
        public Steps {
            check("from", from, 0);
            check("to", to, 0);
            check("steps", steps, 2);
            check("seconds", seconds, Double.MIN_VALUE);
        }

        @Override
        public double expected(double at) {
            double each = seconds / steps;
            int whole = (int) Math.min(steps, at / each);
            double sum = 0;
            for (int i = 0; i < whole; i++) {
                sum += rate(i) * each;
            }
            return whole == steps ? sum : sum + rate(whole) * (at - whole * each);
        }

        private double rate(int step) {
            return from + (to - from) * step / (steps - 1);
        }
    }

    /** A base rate, and a higher one at the start of every period for some time. */
    record Bursts(double rate, double burst, double every, double length, double seconds) implements Shape {
        public Bursts {
            check("rate", rate, 0);
            check("burst", burst, 0);
            check("every", every, Double.MIN_VALUE);
            check("length", length, 0);
            check("seconds", seconds, Double.MIN_VALUE);
            if (length > every) {
                throw new IllegalArgumentException("length must be at most every (" + every + ") but is " + length);
            }
        }

        @Override
        public double expected(double at) {
            double periods = Math.floor(at / every);
            double rest = at - periods * every;
            return periods * (burst * length + rate * (every - length))
                    + burst * Math.min(rest, length)
                    + rate * Math.max(0, rest - length);
        }
    }

    /** A rate that goes up and down as a sine does, first up. */
    record Wave(double rate, double swing, double period, double seconds) implements Shape {
        public Wave {
            check("rate", rate, 0);
            check("swing", swing, 0);
            check("period", period, Double.MIN_VALUE);
            check("seconds", seconds, Double.MIN_VALUE);
            if (swing > rate) {
                throw new IllegalArgumentException("swing must be at most rate (" + rate + ") but is " + swing);
            }
        }

        @Override
        public double expected(double at) {
            double turn = 2 * Math.PI / period;
            return rate * at + swing / turn * (1 - Math.cos(turn * at));
        }
    }

    private static void check(String name, double value, double least) {
        if (!(value >= least && value <= 1e9)) {
            throw new IllegalArgumentException(name + " must be "
                    + (least == 0 ? "0 or more" : least == Double.MIN_VALUE ? "above 0" : (int) least + " or more")
                    + ", at most 1e9, but is "
                    + value);
        }
    }

    /** The forms in which {@link #parse} takes a shape. */
    String FORMS = "constant RATE SECONDS, ramp FROM TO SECONDS, steps FROM TO STEPS SECONDS, "
            + "bursts RATE BURST EVERY LENGTH SECONDS or wave RATE SWING PERIOD SECONDS";

    /** Reads one shape, like {@code ramp 100 500 10}. */
    static Shape parse(String text) {
        String[] words = text.trim().toLowerCase(Locale.ROOT).split("\\s+");
        List<Double> values = new ArrayList<>();
        try {
            for (int i = 1; i < words.length; i++) {
                values.add(Double.valueOf(words[i]));
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("shape must be " + FORMS + " but is \"" + text + "\"", e);
        }
        double[] v = values.stream().mapToDouble(Double::doubleValue).toArray();
        try {
            return switch (words[0] + v.length) {
                case "constant2" -> new Constant(v[0], v[1]);
                case "ramp3" -> new Ramp(v[0], v[1], v[2]);
                case "steps4" -> new Steps(v[0], v[1], (int) v[2], v[3]);
                case "bursts5" -> new Bursts(v[0], v[1], v[2], v[3], v[4]);
                case "wave4" -> new Wave(v[0], v[1], v[2], v[3]);
                default -> throw new IllegalArgumentException("it must be " + FORMS);
            };
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("shape \"" + text + "\": " + e.getMessage(), e);
        }
    }
}
