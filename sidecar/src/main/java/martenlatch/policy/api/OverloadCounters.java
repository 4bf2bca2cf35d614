package martenlatch.policy.api;

import java.util.Optional;

/** Counters for the next {@link OverloadReport}; at most one report is made every ten seconds. */
public final class OverloadCounters {

    private static final double REPORT_INTERVAL_MS = 10_000;

    private int rejected;
    private int queueFullResponses;
    private int ejections;
    private double nextReportMs;

    /** Counts a request rejected at admission. */
    public void countRejected() {
        rejected++;
    }

    /** Counts an attempt that an endpoint rejected because its queue was full. */
    public void countQueueFull() {
        queueFullResponses++;
    }

    /** Counts the ejection of an endpoint. */
    public void countEjection() {
        ejections++;
    }

    /** Returns the report of the last interval once it is over, if anything was counted, and resets the counters. */
    public Optional<OverloadReport> takeReport(
            double nowMs, int tier, double concurrencyLimit, int onProbation, int readyEndpoints) {
        if (nowMs < nextReportMs) {
            return Optional.empty();
        }
        nextReportMs = nowMs + REPORT_INTERVAL_MS;
        Optional<OverloadReport> report = rejected + queueFullResponses + ejections == 0
                ? Optional.empty()
                : Optional.of(new OverloadReport(
                        tier,
                        rejected,
                        Math.round(concurrencyLimit),
                        queueFullResponses,
                        ejections,
                        onProbation,
                        readyEndpoints));
        rejected = 0;
        queueFullResponses = 0;
        ejections = 0;
        return report;
    }
}
