package martenlatch.fleet.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import martenlatch.fleet.gossip.MembershipComparison;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Compares the membership protocol of the sidecars with other protocols in simulated time. */
@Command(
        name = "peers",
        mixinStandardHelpOptions = true,
        description = "Runs failure cases of a fleet in simulated time and prints how the sidecars' membership "
                + "protocol performs, compared with heartbeats, phi accrual and plain SWIM (Markdown).")
final class PeersCommand implements Callable<Integer> {

    @Option(
            names = "--members",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,100",
            description = "fleet sizes (${DEFAULT-VALUE})")
    private List<Integer> members = List.of();

    @Option(names = "--cases", split = ",", paramLabel = "NAME", description = "only these cases")
    private List<String> cases;

    @Option(names = "--ways", split = ",", paramLabel = "NAME", description = "only these protocols")
    private List<String> ways;

    @Option(
            names = "--seeds",
            paramLabel = "N",
            defaultValue = "5",
            description = "runs of each case (${DEFAULT-VALUE})")
    private int seeds;

    @Override
    public Integer call() {
        System.out.println("| case | way | members | wrongly faulty a play | bytes/s a member "
                + "| messages, worst second | first | all (p99) | whole at the end |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String caseName : cases == null ? MembershipComparison.cases() : cases) {
            for (int size : members) {
                for (String protocol : ways == null ? new ArrayList<>(MembershipComparison.ways()) : ways) {
                    System.out.println(MembershipComparison.measure(protocol, caseName, size, seeds)
                            .row());
                }
            }
        }
        return 0;
    }
}
