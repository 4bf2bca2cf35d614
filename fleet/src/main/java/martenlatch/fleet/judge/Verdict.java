package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import martenlatch.fleet.scenario.Hold;

/**
 * What a run came to.
 *
 * @param findings what broke a rule, or a hold of the scenario's; empty where all held
 * @param spoilt why the run says nothing; empty where it does
 */
public record Verdict(Figures figures, List<Finding> findings, List<Finding> spoilt) {

    /** A run's outcome in one word. */
    public enum Outcome {
        HELD,
        BROKEN,
        VOID
    }

    private static final List<RunChecker> CHECKERS = List.of(
            new LostRequestChecker(),
            new DuplicateRunChecker(),
            new DrainChecker(),
            new ColdEndpointChecker(),
            new CrashChecker());

    /** Of a run, by all judges. */
    public static Verdict of(RunRecord run) {
        List<Finding> findings = new ArrayList<>();
        CHECKERS.forEach(checker -> findings.addAll(checker.check(run)));
        Figures figures = Figures.of(run);
        findings.addAll(holds(run.scenario().hold(), figures, run.scenario().seconds() * 1000));
        return new Verdict(figures, List.copyOf(findings), new RigChecker().check(run));
    }

    private static List<Finding> holds(Hold hold, Figures figures, double endMs) {
        List<Finding> found = new ArrayList<>();
        if (figures.recoveryMs() > hold.recoverySeconds() * 1000) {
            found.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "service came back %.0f ms after the last fault, later than %.0f ms",
                            figures.recoveryMs(),
                            hold.recoverySeconds() * 1000)));
        }
        if (figures.amplification() > hold.amplification()) {
            found.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "%.3f attempts for each request, more than %.3f",
                            figures.amplification(),
                            hold.amplification())));
        }
        if (figures.servedShare() < hold.served()) {
            found.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "%.3f of all requests served, fewer " + "than %.3f",
                            figures.servedShare(),
                            hold.served())));
        }
        if (figures.listRefusals() > hold.listRefusals()) {
            found.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "discovery turned away %d calls, more than %.0f",
                            figures.listRefusals(),
                            hold.listRefusals())));
        }
        return found;
    }

    /** In one word. A spoilt run is void, whatever was found in it. */
    public Outcome outcome() {
        return !spoilt.isEmpty() ? Outcome.VOID : findings.isEmpty() ? Outcome.HELD : Outcome.BROKEN;
    }
}
