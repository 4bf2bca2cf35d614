package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import martenlatch.fleet.scenario.PassCriteria;

/**
 * The result of a run.
 *
 * @param findings violations of the rules or of the scenario's pass criteria; empty if all hold
 * @param spoilt faults of the test rig that make the run void; empty if the run is valid
 */
public record Verdict(Figures figures, List<Finding> findings, List<Finding> spoilt) {

    /** The outcome of a run. */
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

    /** Runs all checks on a run. */
    public static Verdict of(RunRecord run) {
        List<Finding> findings = new ArrayList<>();
        CHECKERS.forEach(checker -> findings.addAll(checker.check(run)));
        Figures figures = Figures.of(run);
        findings.addAll(checkPassCriteria(
                run.scenario().passCriteria(), figures, run.scenario().seconds() * 1000));
        return new Verdict(figures, List.copyOf(findings), new RigChecker().check(run));
    }

    private static List<Finding> checkPassCriteria(PassCriteria criteria, Figures figures, double endMs) {
        List<Finding> findings = new ArrayList<>();
        if (figures.recoveryMs() > criteria.maxRecoverySeconds() * 1000) {
            findings.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "service came back %.0f ms after the last fault, later than %.0f ms",
                            figures.recoveryMs(),
                            criteria.maxRecoverySeconds() * 1000)));
        }
        if (figures.amplification() > criteria.maxAmplification()) {
            findings.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "%.3f attempts for each request, more than %.3f",
                            figures.amplification(),
                            criteria.maxAmplification())));
        }
        if (figures.servedShare() < criteria.minServedShare()) {
            findings.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "%.3f of all requests served, fewer " + "than %.3f",
                            figures.servedShare(),
                            criteria.minServedShare())));
        }
        if (figures.listRefusals() > criteria.maxListRefusals()) {
            findings.add(new Finding(
                    "hold",
                    "",
                    endMs,
                    String.format(
                            Locale.ROOT,
                            "discovery turned away %d calls, more than %.0f",
                            figures.listRefusals(),
                            criteria.maxListRefusals())));
        }
        return findings;
    }

    /** Returns the outcome. A run is void if the rig was at fault, whatever else was found. */
    public Outcome outcome() {
        return !spoilt.isEmpty() ? Outcome.VOID : findings.isEmpty() ? Outcome.HELD : Outcome.BROKEN;
    }
}
