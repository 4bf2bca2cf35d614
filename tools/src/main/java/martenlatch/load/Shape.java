package martenlatch.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * An arrival rate over time, given as the expected number of arrivals since the start of the shape. Performs no I/O and
 * reads no clock. Times are seconds since the start of the shape, rates are arrivals per second.
 */
public sealed interface Shape {

    /** Returns the duration, in seconds. */
    double seconds();

    /** Returns the expected number of arrivals from the start to a time; starts at 0 and never decreases. */
    double expected(double seconds);

    /** A constant rate. */
    record Constant(double rate, double seconds) implements Shape {
        public Constant {
            requireAtLeast("rate", rate, 0);
            requireAtLeast("seconds", seconds, Double.MIN_VALUE);
        }

        @Override
        public double expected(double at) {
            return rate * at;
        }
    }

    /** A rate that changes linearly from one value to another. */
    record Ramp(double from, double to, double seconds) implements Shape {
        public Ramp {
            requireAtLeast("from", from, 0);
            requireAtLeast("to", to, 0);
            requireAtLeast("seconds", seconds, Double.MIN_VALUE);
        }

        @Override
        public double expected(double at) {
            return from * at + (to - from) * at * at / (2 * seconds);
        }
    }

    /**
     * A rate that changes in steps of equal length, the first at {@code from} and the last at {@code to}.
     */
    record Steps(double from, double to, int steps, double seconds) implements Shape {
        public Steps {
            requireAtLeast("from", from, 0);
            requireAtLeast("to", to, 0);
            requireAtLeast("steps", steps, 2);
            requireAtLeast("seconds", seconds, Double.MIN_VALUE);
        }

        @Override
        public double expected(double at) {
            double stepSeconds = seconds / steps;
            int whole = (int) Math.min(steps, at / stepSeconds);
            double sum = 0;
            for (int i = 0; i < whole; i++) {
                sum += rate(i) * stepSeconds;
            }
            return whole == steps ? sum : sum + rate(whole) * (at - whole * stepSeconds);
        }

        private double rate(int step) {
            return from + (to - from) * step / (steps - 1);
        }
    }

    /** A base rate, with a burst rate for the first {@code length} seconds of every period of {@code every} seconds. */
    record Bursts(double rate, double burst, double every, double length, double seconds) implements Shape {
        public Bursts {
            requireAtLeast("rate", rate, 0);
            requireAtLeast("burst", burst, 0);
            requireAtLeast("every", every, Double.MIN_VALUE);
            requireAtLeast("length", length, 0);
            requireAtLeast("seconds", seconds, Double.MIN_VALUE);
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

    /** A rate that follows a sine wave around {@code rate} with the amplitude {@code swing}, rising first. */
    record Wave(double rate, double swing, double period, double seconds) implements Shape {
        public Wave {
            requireAtLeast("rate", rate, 0);
            requireAtLeast("swing", swing, 0);
            requireAtLeast("period", period, Double.MIN_VALUE);
            requireAtLeast("seconds", seconds, Double.MIN_VALUE);
            if (swing > rate) {
                throw new IllegalArgumentException("swing must be at most rate (" + rate + ") but is " + swing);
            }
        }

        @Override
        public double expected(double at) {
            double angularRate = 2 * Math.PI / period;
            return rate * at + swing / angularRate * (1 - Math.cos(angularRate * at));
        }
    }

    private static void requireAtLeast(String name, double value, double min) {
        if (!(value >= min && value <= 1e9)) {
            throw new IllegalArgumentException(name + " must be "
                    + (min == 0 ? "0 or more" : min == Double.MIN_VALUE ? "above 0" : (int) min + " or more")
                    + ", at most 1e9, but is "
                    + value);
        }
    }

    /** The forms that {@link #parse} accepts. */
    String FORMS = "constant RATE SECONDS, ramp FROM TO SECONDS, steps FROM TO STEPS SECONDS, "
            + "bursts RATE BURST EVERY LENGTH SECONDS or wave RATE SWING PERIOD SECONDS";

    /** Parses a shape, such as {@code ramp 100 500 10}. */
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
