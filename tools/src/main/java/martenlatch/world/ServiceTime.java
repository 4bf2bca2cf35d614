package martenlatch.world;

import java.util.Locale;
import java.util.SplittableRandom;

/** How long endpoints work on a request, in milliseconds: a distribution with a mean. */
public record ServiceTime(Form form, double meanMs, double spread) {

    /** The distribution's form. */
    public enum Form {
        /** Always the mean. */
        CONSTANT,
        /** Exponential. */
        EXPONENTIAL,
        /** Log-normal; the spread is the standard deviation of the logarithm. */
        LOGNORMAL
    }

    private static final double MOST_MS = 600_000;

    public ServiceTime {
        if (!(meanMs >= 0 && meanMs <= MOST_MS)) {
            throw new IllegalArgumentException("service mean must be 0 to 600000 ms but is " + meanMs);
        }
        if (!(spread >= 0 && spread <= 4)) {
            throw new IllegalArgumentException("service spread must be 0 to 4 but is " + spread);
        }
    }

    /** Reads one, like {@code lognormal 20 0.8} or {@code constant 5}. */
    public static ServiceTime parse(String text) {
        String[] words = text.trim().split("\\s+");
        try {
            Form form = Form.valueOf(words[0].toUpperCase(Locale.ROOT));
            if (words.length == (form == Form.LOGNORMAL ? 3 : 2)) {
                return new ServiceTime(
                        form, Double.parseDouble(words[1]), form == Form.LOGNORMAL ? Double.parseDouble(words[2]) : 0);
            }
        } catch (NumberFormatException e) {
            throw bad(text, e);
        } catch (IllegalArgumentException e) {
            if (e.getMessage().startsWith("service")) {
                throw e;
            }
            throw bad(text, e);
        }
        throw bad(text, null);
    }

    private static IllegalArgumentException bad(String text, Exception cause) {
        return new IllegalArgumentException(
                "service must be constant MS, exponential MS or lognormal MS " + "SPREAD " + "but is \"" + text + "\"",
                cause);
    }

    /** One of them, in milliseconds. */
    public double draw(SplittableRandom random) {
        return switch (form) {
            case CONSTANT -> meanMs;
            case EXPONENTIAL -> -meanMs * Math.log(1 - random.nextDouble());
            case LOGNORMAL -> meanMs * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        };
    }
}
