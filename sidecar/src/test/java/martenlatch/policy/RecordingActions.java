package martenlatch.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.OverloadReport;

/** A host that records all actions and carries out none. */
final class RecordingActions implements BalancerActions {

    /** An attempt that was forwarded to an endpoint. */
    record SentAttempt(String requestId, int attempt, String endpointId, double timeoutMs) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<String> rejected = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> closedConnections = new ArrayList<>();
    final List<String> reports = new ArrayList<>();
    final List<String> all = new ArrayList<>();
    final List<Double> timers = new ArrayList<>();
    int polls;
    private final Map<String, Integer> attempts = new HashMap<>();

    SentAttempt last() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public void forward(String requestId, String endpointId, double timeoutMs) {
        int attempt = attempts.merge(requestId, 1, Integer::sum) - 1;
        sent.add(new SentAttempt(requestId, attempt, endpointId, timeoutMs));
        all.add("forward " + requestId + " " + endpointId + " " + timeoutMs);
    }

    @Override
    public void reject(String requestId, double retryAfterMs) {
        rejected.add(requestId);
        all.add("reject " + requestId);
    }

    @Override
    public void fail(String requestId) {
        failed.add(requestId);
        all.add("fail " + requestId);
    }

    @Override
    public void cancelAttempt(String requestId, int attempt) {
        cancelled.add(requestId + "#" + attempt);
        all.add("cancel " + requestId + " " + attempt);
    }

    @Override
    public void scheduleTimer(double delayMs, long name) {
        timers.add(delayMs);
        all.add("timer " + name);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        closedConnections.add(endpointId);
        all.add("close " + endpointId);
    }

    @Override
    public void pollEndpointList() {
        polls++;
        all.add("poll");
    }

    @Override
    public void report(OverloadReport report) {
        reports.add(report.toString());
    }
}
