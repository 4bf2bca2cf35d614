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

/** Measures the latency that a relay adds. */
@Command(
        name = "cost",
        mixinStandardHelpOptions = true,
        description = "Measures the latency that a relay adds to a request.")
final class CostCommand implements Callable<Integer> {

    @Option(names = "--rate", defaultValue = "1000", description = "requests per second (${DEFAULT-VALUE})")
    private double rate;

    @Option(
            names = "--seconds",
            defaultValue = "10",
            description = "duration of each of the two measurements (${DEFAULT-VALUE})")
    private double seconds;

    @Override
    public Integer call() throws IOException, InterruptedException {
        List<LoadReport> reports = RelayCost.measure(rate, seconds);
        printLine("without", reports.get(0));
        printLine("with one", reports.get(1));
        return 0;
    }

    private static void printLine(String name, LoadReport report) {
        Histogram servedTimes = report.all().served();
        System.out.printf(
                Locale.ROOT,
                "%-9s served %d, p50 %.3f ms, p99 %.3f ms; %s%n",
                name,
                servedTimes.getTotalCount(),
                servedTimes.getValueAtPercentile(50) / 1000.0,
                servedTimes.getValueAtPercentile(99) / 1000.0,
                report.verdict());
    }
}
