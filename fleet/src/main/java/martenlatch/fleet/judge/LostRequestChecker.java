package martenlatch.fleet.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Checks that no request is lost: each request that a running sidecar has accepted gets one final answer by its
 * deadline. Requests are exempt if the sidecar was dead or paused meanwhile, or if a fault was on the link between
 * the client and the sidecar.
 */
public final class LostRequestChecker implements RunChecker {

    @Override
    public String name() {
        return "lost";
    }

    @Override
    public List<Finding> check(RunRecord run) {
        List<Finding> findings = new ArrayList<>();
        for (RunRecord.RequestRecord request : run.requests()) {
            if (Double.isNaN(request.askedAtMs())
                    || isAnswered(request.outcome())
                    || isNeverAccepted(request.outcome())
                    || isCrossed(run, request)) {
                continue;
            }
            double untilMs = Double.isInfinite(request.endedAtMs()) ? request.deadlineAtMs() : request.endedAtMs();
            if (run.wasUnavailable(request.sidecar(), request.askedAtMs(), untilMs)
                    || run.wasLinkFaulted("clients", request.sidecar(), request.askedAtMs(), untilMs)) {
                continue;
            }
            findings.add(new Finding(
                    name(),
                    request.id(),
                    untilMs,
                    String.format(
                            Locale.ROOT,
                            "%s took it at %.0f ms, to be answered by %.0f ms: %s",
                            request.sidecar(),
                            request.askedAtMs(),
                            request.deadlineAtMs(),
                            request.outcome().isEmpty() ? "no end" : request.outcome())));
        }
        return findings;
    }

    /** Returns whether an outcome is a final answer of the sidecar. */
    static boolean isAnswered(String outcome) {
        return outcome.startsWith("SERVED") || outcome.startsWith("REFUSED") || outcome.startsWith("FAILED status");
    }

    private static boolean isNeverAccepted(String outcome) {
        return outcome.startsWith("NOT_SENT") || outcome.equals("FAILED no connect");
    }

    /**
     * Returns whether a request arrived while a draining sidecar closed the connection. A sidecar may close a
     * connection between two requests; the client sends a request again that was not read because of this.
     */
    static boolean isCrossed(RunRecord run, RunRecord.RequestRecord request) {
        return request.attempts().isEmpty()
                && (request.outcome().equals("FAILED closed")
                        || request.outcome().equals("FAILED reset"))
                && run.wasDraining(request.sidecar(), request.askedAtMs(), request.endedAtMs());
    }
}
