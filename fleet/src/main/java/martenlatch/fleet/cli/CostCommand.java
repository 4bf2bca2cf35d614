package martenlatch.fleet.cli;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import martenlatch.fleet.rig.RelayCost;
import martenlatch.load.LoadReport;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures what a relay adds. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description = "Measures what a relay adds to a request's time.")
final class CostCommand implements Callable<Integer> {

    @Option(names = "--rate", defaultValue = "1000", description = "requests a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "10", description = "how long each way (${DEFAULT-VALUE})")
    private double seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<LoadReport> both = RelayCost.measure(rate, seconds);
        line("without", both.get(0));
        line("with one", both.get(1));
        return 0;
    }

    private static void line(String way, LoadReport report) {
        Histogram times = report.all().served();
        System.out.printf(
                Locale.ROOT,
                "%-9s served %d, p50 %.3f ms, p99 %.3f ms; %s%n",
                way,
                times.getTotalCount(),
                times.getValueAtPercentile(50) / 1000.0,
                times.getValueAtPercentile(99) / 1000.0,
                report.verdict());
    }
}
