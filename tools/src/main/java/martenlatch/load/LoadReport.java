package martenlatch.load;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What a run has shown.
 *
 * @param plannedSeconds how long it was to last
 * @param kinds figures of each class, by name
 * @param seconds each second of it, warm-up included
 * @param differences where sent was not the sum of ends and open, at any second; empty if it always was
 * @param waits requests that waited for a connection for more than a millisecond
 */
public record LoadReport(
        LoadPlan plan,
        double plannedSeconds,
        Map<String, Figures> kinds,
        Judgement judgement,
        List<Second> seconds,
        List<String> differences,
        long waits) {

    /** The figures of all classes together. */
    public Figures all() {
        Figures sum = new Figures();
        kinds.values().forEach(sum::add);
        return sum;
    }

    /** Prints it for people. */
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
        kinds.forEach((name, figures) -> line(out, name, figures));
        Figures sum = all();
        if (kinds.size() > 1) {
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
        for (String wrong : differences) {
            out.println("DOES NOT ADD UP: " + wrong);
        }
    }

    private static void line(PrintStream out, String name, Figures of) {
        Histogram times = of.all();
        out.printf(
                Locale.ROOT,
                "%-16s %9d %9d %9d %8d %8d %8d %8d  %9.2f %9.2f %9.2f %9.2f%n",
                name,
                of.wishes(),
                of.requests(),
                of.count(RequestOutcome.SERVED),
                of.count(RequestOutcome.REFUSED),
                of.count(RequestOutcome.FAILED),
                of.count(RequestOutcome.TIMED_OUT),
                of.count(RequestOutcome.NOT_SENT),
                ms(times, 50),
                ms(times, 99),
                ms(times, 99.9),
                ms(times, 100));
    }

    /** A percentile, 0 to 100, in milliseconds. */
    static double ms(Histogram times, double percentile) {
        return times.getTotalCount() == 0 ? 0 : times.getValueAtPercentile(percentile) / 1000.0;
    }

    /** What the generator thinks of itself, in one line. */
    public String verdict() {
        String late = String.format(
                Locale.ROOT,
                "%.3f %% of sends over 1 ms late (p99 %.3f ms, max %.1f ms), %.3f %% of answers read late, "
                        + "longest pause %.1f ms",
                100 * judgement.lateShare(),
                judgement.lateness().getValueAtPercentile(99) / 1e6,
                judgement.lateness().getMaxValue() / 1e6,
                100 * judgement.lateAnswerShare(),
                judgement.longestPause() / 1e6);
        return judgement.voidFrom() < 0
                ? "generator: in time; " + late
                : "GENERATOR TOO SLOW: figures from second " + judgement.voidFrom()
                        + " on are void, as they are its own lateness and not the service's; " + late;
    }
}
