package martenlatch.fleet.report;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import martenlatch.fleet.judge.Figures;
import martenlatch.fleet.judge.Finding;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;

/** Prints a short summary of a run. */
public final class TextReport {

    private static final int MAX_FINDINGS = 20;

    private TextReport() {}

    /** Prints the summary. */
    public static void print(RunRecord run, Verdict verdict, PrintStream out) {
        Figures figures = verdict.figures();
        out.printf(
                Locale.ROOT,
                "%s, seed %d: %d sidecars, %d endpoints in %s, %.0f s%n",
                run.scenario().name(),
                run.scenario().seed(),
                run.scenario().sizes().sidecars(),
                run.scenario().sizes().endpoints(),
                run.scenario().sizes().zones(),
                run.scenario().seconds());
        Timeline.faults(run).forEach(fault -> out.println("  fault at " + fault));
        out.printf(
                Locale.ROOT,
                "requests %d: served %d, refused %d, failed %d, no answer %d, not sent %d%n",
                figures.asked(),
                figures.served(),
                figures.refused(),
                figures.failed(),
                figures.timedOut(),
                figures.notSent());
        out.printf(
                Locale.ROOT,
                "attempts %d (%.3f a request), requests that crossed a close %d, back after %s%n",
                figures.sent(),
                figures.amplification(),
                figures.crossed(),
                recoveryTime(figures));
        out.printf(
                Locale.ROOT,
                "calls to discovery %d, of which it turned away %d%n",
                figures.listCalls(),
                figures.listRefusals());
        Map<String, Integer> countsByCheck = new TreeMap<>();
        verdict.findings().forEach(finding -> countsByCheck.merge(finding.judge(), 1, Integer::sum));
        countsByCheck.forEach((check, count) -> out.println("BROKEN " + check + ": " + count));
        printFindings(verdict.findings(), out);
        printFindings(verdict.spoilt(), out);
        out.println(
                switch (verdict.outcome()) {
                    case HELD -> "HELD: the four rules, and what the scenario asks";
                    case BROKEN -> "BROKEN: see above";
                    case VOID -> "VOID: the rig was at fault; this run says nothing of the program";
                });
    }

    private static String recoveryTime(Figures figures) {
        return Double.isNaN(figures.recoveryMs())
                ? "no fault"
                : Double.isInfinite(figures.recoveryMs())
                        ? "never"
                        : String.format(Locale.ROOT, "%.2f s", figures.recoveryMs() / 1000);
    }

    private static void printFindings(List<Finding> findings, PrintStream out) {
        findings.stream()
                .limit(MAX_FINDINGS)
                .forEach(finding -> out.printf(
                        Locale.ROOT,
                        "  %s at %.0f ms%s: %s%n",
                        finding.judge(),
                        finding.atMs(),
                        finding.id().isEmpty() ? "" : ", request " + finding.id(),
                        finding.what()));
        if (findings.size() > MAX_FINDINGS) {
            out.println("  and " + (findings.size() - MAX_FINDINGS) + " more");
        }
    }
}
