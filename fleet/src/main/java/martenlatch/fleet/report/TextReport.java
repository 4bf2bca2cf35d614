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

/** A run in some lines. */
public final class TextReport {

    private static final int MOST_LINES = 20;

    private TextReport() {}

    /** Prints it. */
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
                recovery(figures));
        out.printf(
                Locale.ROOT,
                "calls to discovery %d, of which it turned away %d%n",
                figures.listCalls(),
                figures.listRefusals());
        Map<String, Integer> byJudge = new TreeMap<>();
        verdict.findings().forEach(one -> byJudge.merge(one.judge(), 1, Integer::sum));
        byJudge.forEach((judge, count) -> out.println("BROKEN " + judge + ": " + count));
        list(verdict.findings(), out);
        list(verdict.spoilt(), out);
        out.println(
                switch (verdict.outcome()) {
                    case HELD -> "HELD: the four rules, and what the scenario asks";
                    case BROKEN -> "BROKEN: see above";
                    case VOID -> "VOID: the rig was at fault; this run says nothing of the program";
                });
    }

    private static String recovery(Figures figures) {
        return Double.isNaN(figures.recoveryMs())
                ? "no fault"
                : Double.isInfinite(figures.recoveryMs())
                        ? "never"
                        : String.format(Locale.ROOT, "%.2f s", figures.recoveryMs() / 1000);
    }

    private static void list(List<Finding> findings, PrintStream out) {
        findings.stream()
                .limit(MOST_LINES)
                .forEach(one -> out.printf(
                        Locale.ROOT,
                        "  %s at %.0f ms%s: %s%n",
                        one.judge(),
                        one.atMs(),
                        one.id().isEmpty() ? "" : ", request " + one.id(),
                        one.what()));
        if (findings.size() > MOST_LINES) {
            out.println("  and " + (findings.size() - MOST_LINES) + " more");
        }
    }
}
