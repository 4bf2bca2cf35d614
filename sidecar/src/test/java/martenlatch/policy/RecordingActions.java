package martenlatch.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.BalancerActions;
import martenlatch.policy.api.OverloadReport;

/** A host that carries nothing out and remembers what it was told. */
final class RecordingActions implements BalancerActions {

    /** One attempt that was sent. */
    record Sent(String requestId, int attempt, String endpointId, double timeoutMs) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> refused = new ArrayList<>();
    final List<String> failed = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    final List<String> disconnected = new ArrayList<>();
    final List<String> log = new ArrayList<>();
    final List<String> all = new ArrayList<>();
    final List<Double> timers = new ArrayList<>();
    int subscriptions;
    private final Map<String, Integer> attempts = new HashMap<>();

    Sent last() {
        return sent.get(sent.size() - 1);
    }

    @Override
    public void forward(String request, String server, double timeoutMs) {
        int attempt = attempts.merge(request, 1, Integer::sum) - 1;
        sent.add(new Sent(request, attempt, server, timeoutMs));
        all.add("send " + request + " " + server + " " + timeoutMs);
    }

    @Override
    public void reject(String request, double coolDownMs) {
        refused.add(request);
        all.add("refuse " + request);
    }

    @Override
    public void fail(String request) {
        failed.add(request);
        all.add("fail " + request);
    }

    @Override
    public void cancelAttempt(String request, int attempt) {
        cancelled.add(request + "#" + attempt);
        all.add("cancel " + request + " " + attempt);
    }

    @Override
    public void scheduleTimer(double inMs, long name) {
        timers.add(inMs);
        all.add("timer " + name);
    }

    @Override
    public void closeIdleConnections(String server) {
        disconnected.add(server);
        all.add("disconnect " + server);
    }

    @Override
    public void pollEndpointList() {
        subscriptions++;
        all.add("subscribe");
    }

    @Override
    public void report(OverloadReport report) {
        log.add(report.toString());
    }
}
