package martenlatch.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * The results of a load run.
 *
 * @param plannedSeconds planned duration of the run
 * @param classes statistics of each class, by name
 * @param lateness how late the generator itself was
 * @param seconds statistics of each second, warm-up included
 * @param differences seconds at which the number of arrivals was not the sum of ended and open ones; empty if
 *     there were none
 * @param waits number of requests that waited for a connection for more than 1 ms
 */
public record LoadReport(
        LoadPlan plan,
        double plannedSeconds,
        Map<String, LoadStats> classes,
        GeneratorLateness lateness,
        List<Second> seconds,
        List<String> differences,
        long waits) {

    /** Returns the statistics of all classes together. */
    public LoadStats all() {
        LoadStats sum = new LoadStats();
        classes.values().forEach(sum::add);
        return sum;
    }

    /** Prints the report as text. */
    public void print(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%-16s %9s %9s %9s %8s %8s %8s %8s  %9s %9s %9s %9s%n",
                "class",
                "sent",
                "requests",
                "served",
                "refused",
                "failed",
                "timeout",
                "unsent",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "max ms");
        classes.forEach((name, stats) -> line(out, name, stats));
        LoadStats sum = all();
        if (classes.size() > 1) {
            line(out, "all", sum);
        }
        if (!sum.causes().isEmpty()) {
            out.println("not served: " + sum.causes());
        }
        if (waits > 0) {
            out.println("waited for a connection for more than 1 ms: " + waits + " requests (at most "
                    + plan.connections() + " connections)");
        }
        out.println(verdict());
        for (String difference : differences) {
            out.println("DOES NOT ADD UP: " + difference);
        }
    }

    private static void line(PrintStream out, String name, LoadStats stats) {
        Histogram times = stats.all();
        out.printf(
                Locale.ROOT,
                "%-16s %9d %9d %9d %8d %8d %8d %8d  %9.2f %9.2f %9.2f %9.2f%n",
                name,
                stats.wishes(),
                stats.requests(),
                stats.count(RequestOutcome.SERVED),
                stats.count(RequestOutcome.REFUSED),
                stats.count(RequestOutcome.FAILED),
                stats.count(RequestOutcome.TIMED_OUT),
                stats.count(RequestOutcome.NOT_SENT),
                ms(times, 50),
                ms(times, 99),
                ms(times, 99.9),
                ms(times, 100));
    }

    /** Returns a percentile, 0 to 100, of times in microseconds, in milliseconds. */
    static double ms(Histogram times, double percentile) {
        return times.getTotalCount() == 0 ? 0 : times.getValueAtPercentile(percentile) / 1000.0;
    }

    /** Returns in one line how late the generator was and which results are void because of it. */
    public String verdict() {
        String late = String.format(
                Locale.ROOT,
                "%.3f %% of sends over 1 ms late (p99 %.3f ms, max %.1f ms), %.3f %% of answers read late, "
                        + "longest pause %.1f ms",
                100 * lateness.lateShare(),
                lateness.sendLateness().getValueAtPercentile(99) / 1e6,
                lateness.sendLateness().getMaxValue() / 1e6,
                100 * lateness.lateAnswerShare(),
                lateness.longestPauseNanos() / 1e6);
        return lateness.voidFrom() < 0
                ? "generator: in time; " + late
                : "GENERATOR TOO SLOW: figures from second " + lateness.voidFrom()
                        + " on are void, as they are its own lateness and not the service's; " + late;
    }
}
