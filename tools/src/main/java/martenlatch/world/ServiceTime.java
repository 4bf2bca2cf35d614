package martenlatch.world;

import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The probability distribution of an endpoint's service time.
 *
 * @param spread standard deviation of the logarithm for a log-normal distribution; else unused
 */
public record ServiceTime(Form form, double meanMs, double spread) {

    /** The form of the distribution. */
    public enum Form {
        /** Constant: always the mean. */
        CONSTANT,
        /** Exponential. */
        EXPONENTIAL,
        /** Log-normal. */
        LOGNORMAL
    }

    private static final double MAX_MEAN_MS = 600_000;

    public ServiceTime {
        if (!(meanMs >= 0 && meanMs <= MAX_MEAN_MS)) {
            throw new IllegalArgumentException("service mean must be 0 to 600000 ms but is " + meanMs);
        }
        if (!(spread >= 0 && spread <= 4)) {
            throw new IllegalArgumentException("service spread must be 0 to 4 but is " + spread);
        }
    }

    /** Parses a distribution, such as {@code lognormal 20 0.8} or {@code constant 5}. */
    public static ServiceTime parse(String text) {
        String[] words = text.trim().split("\\s+");
        try {
            Form form = Form.valueOf(words[0].toUpperCase(Locale.ROOT));
            if (words.length == (form == Form.LOGNORMAL ? 3 : 2)) {
                return new ServiceTime(
                        form, Double.parseDouble(words[1]), form == Form.LOGNORMAL ? Double.parseDouble(words[2]) : 0);
            }
        } catch (NumberFormatException e) {
            throw invalid(text, e);
        } catch (IllegalArgumentException e) {
            if (e.getMessage().startsWith("service")) {
                throw e;
            }
            throw invalid(text, e);
        }
        throw invalid(text, null);
    }

    private static IllegalArgumentException invalid(String text, Exception cause) {
        return new IllegalArgumentException(
                "service must be constant MS, exponential MS or lognormal MS SPREAD but is \"" + text + "\"", cause);
    }

    /** Draws a service time, in milliseconds. */
    public double draw(SplittableRandom random) {
        return switch (form) {
            case CONSTANT -> meanMs;
            case EXPONENTIAL -> -meanMs * Math.log(1 - random.nextDouble());
            case LOGNORMAL -> meanMs * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
        };
    }
}
