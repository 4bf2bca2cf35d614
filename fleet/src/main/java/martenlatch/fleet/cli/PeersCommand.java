package martenlatch.fleet.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import martenlatch.fleet.gossip.MembershipComparison;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures membership among sidecars in simulated time, beside other ways to do it. */
@Command(
        name = "peers",
        mixinStandardHelpOptions = true,
        description = "Plays what may befall a fleet in simulated time, and prints how well membership among "
                + "sidecars bore it, beside heartbeats, phi accrual and plain SWIM (Markdown).")
final class PeersCommand implements Callable<Integer> {

    @Option(
            names = "--members",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,100",
            description = "sizes (${DEFAULT-VALUE})")
    private List<Integer> members = List.of();

    @Option(names = "--cases", split = ",", paramLabel = "NAME", description = "only these")
    private List<String> cases;

    @Option(names = "--ways", split = ",", paramLabel = "NAME", description = "only these")
    private List<String> ways;

    @Option(names = "--seeds", paramLabel = "N", defaultValue = "5", description = "plays of each (${DEFAULT-VALUE})")
    private int seeds;

    @Override
    public Integer call() {
        System.out.println("| case | way | members | wrongly faulty a play | bytes/s a member "
                + "| messages, worst second | first | all (p99) | whole at the end |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String what : cases == null ? MembershipComparison.cases() : cases) {
            for (int size : members) {
                for (String way : ways == null ? new ArrayList<>(MembershipComparison.ways()) : ways) {
                    System.out.println(
                            MembershipComparison.measure(way, what, size, seeds).row());
                }
            }
        }
        return 0;
    }
}
