package martenlatch.frontend.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.Test;

/**
 * Random proxies time out, cancel streams, send duplicates, retry late and carry out old decisions while the processor
 * restarts. No unsafe request may execute twice, no keyed one outside its cell or window, and no state may leak.
 */
class RandomProcessingStreamsTest {

    private static final int SEQUENCES = 3000;
    private static final int STEPS = 60;
    private static final List<RequestClass> REQUEST_CLASSES =
            List.of(ExtProcFixture.READ, ExtProcFixture.ORDER, ExtProcFixture.SAVE, ExtProcFixture.PUT);

    /** A request as its proxy sees it, with all of its executions. */
    private static final class ProxyRequest {
        final String id;
        final RequestClass requestClass;
        int attempt;
        final List<String> executedAt = new ArrayList<>();
        final List<Double> executedMs = new ArrayList<>();

        ProxyRequest(String id, RequestClass requestClass) {
            this.id = id;
            this.requestClass = requestClass;
        }
    }

    /** A decision that a proxy has received; it may be carried out until {@code untilMs}. */
    private record Decision(ProxyRequest request, ExtProcFixture.Stream stream, String endpoint, double untilMs) {}

    @Test
    void requestsNeverExecuteUnsafelyAndNoStateLeaks() {
        Map<String, Integer> totals = new HashMap<>();
        for (long seed = 1; seed <= SEQUENCES; seed++) {
            Sequence one = new Sequence(seed);
            try {
                one.run();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + one.latestEvent, e);
            }
            one.eventCounts.forEach((what, count) -> totals.merge(what, count, Integer::sum));
        }
        // Every event must have occurred often enough for the test to be meaningful.
        for (String what : List.of(
                "decided",
                "status 409",
                "status 500",
                "status 503",
                "status 504",
                "passed",
                "retriable",
                "ran",
                "restart",
                "late decision",
                "broken")) {
            assertTrue(totals.getOrDefault(what, 0) > 100, what + ": " + totals);
        }
    }

    /** The random sequence of one seed. */
    private static final class Sequence {
        private final SplittableRandom random;
        private final ExtProcFixture fixture = new ExtProcFixture(endpoints());
        private final List<ProxyRequest> requests = new ArrayList<>();
        private final List<ExtProcFixture.Stream> streams = new ArrayList<>();
        private final List<Decision> decisions = new ArrayList<>();
        /** Attempts that were sent and whose result is not reported yet. */
        private final List<Decision> sent = new ArrayList<>();

        private final Map<String, Integer> eventCounts = new HashMap<>();
        private String latestEvent = "";

        /**
         * Whether the processor restarts. If so, proxies must send correct attempt counts, because only these
         * distinguish a later attempt from a first one after a restart.
         */
        private final boolean restarts;

        Sequence(long seed) {
            random = new SplittableRandom(seed);
            restarts = seed % 2 == 0;
        }

        private static Endpoint[] endpoints() {
            return new Endpoint[] {
                ExtProcFixture.endpoint(0),
                ExtProcFixture.endpoint(1),
                ExtProcFixture.endpoint(2),
                ExtProcFixture.endpoint(3)
            };
        }

        private void run() {
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> startAttempt(newRequest());
                    case 3, 4 -> startNextAttempt();
                    case 5, 6 -> executeDecision();
                    case 7, 8 -> reportResult();
                    case 9 -> cancelStream();
                    case 10 -> fixture.scheduler.advance(random.nextInt(random.nextInt(10) == 0 ? 3000 : 120));
                    default -> {
                        if (restarts && random.nextInt(20) == 0) {
                            restart();
                        } else if (random.nextInt(2) == 0) {
                            fixture.runDeferredTasks();
                        }
                    }
                }
            }
            finishAndCheck();
        }

        private ProxyRequest newRequest() {
            ProxyRequest added = new ProxyRequest(
                    "r" + requests.size(), REQUEST_CLASSES.get(random.nextInt(REQUEST_CLASSES.size())));
            requests.add(added);
            return added;
        }

        private void note(String what) {
            latestEvent = what;
            eventCounts.merge(what, 1, Integer::sum);
        }

        private void startAttempt(ProxyRequest request) {
            request.attempt += restarts || random.nextInt(3) == 0 ? 1 : 0;
            openStream(request);
            if (random.nextInt(8) == 0) {
                openStream(request);
            }
            if (random.nextInt(4) > 0) {
                fixture.runDeferredTasks();
            }
            collect();
        }

        private final Map<ExtProcFixture.Stream, ProxyRequest> undecidedRequests = new HashMap<>();

        private void openStream(ProxyRequest request) {
            ExtProcFixture.Stream stream = fixture.open();
            streams.add(stream);
            stream.send(
                    ExtProcFixture.request(ExtProcFixture.headers(request.id, request.requestClass, request.attempt)));
            undecidedRequests.put(stream, request);
        }

        /** Collects the decisions that have arrived. */
        private void collect() {
            for (ExtProcFixture.Stream stream : List.copyOf(undecidedRequests.keySet())) {
                if (!stream.received.isEmpty()) {
                    ProxyRequest request = undecidedRequests.remove(stream);
                    if (stream.endpoint() != null) {
                        note("decided");
                        decisions.add(new Decision(request, stream, stream.endpoint(), fixture.scheduler.now() + 350));
                    } else {
                        note("status " + stream.status());
                    }
                } else if (stream.endCount > 0 || stream.isCancelled()) {
                    undecidedRequests.remove(stream);
                }
            }
        }

        /** Starts another attempt of a recent request, whatever the state of the earlier ones. */
        private void startNextAttempt() {
            if (!requests.isEmpty()) {
                startAttempt(requests.get(requests.size() - 1 - random.nextInt(Math.min(4, requests.size()))));
            }
        }

        /** Executes a decision within its maximum age, whether or not its stream is still open. */
        private void executeDecision() {
            collect();
            decisions.removeIf(one -> one.untilMs() < fixture.scheduler.now());
            if (decisions.isEmpty()) {
                return;
            }
            Decision one = decisions.remove(random.nextInt(decisions.size()));
            if (one.stream().isCancelled() || one.stream().endCount > 0) {
                note("late decision");
            }
            note("ran");
            ProxyRequest request = one.request();
            request.executedAt.add(one.endpoint());
            request.executedMs.add(fixture.scheduler.now());
            if (request.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
                assertEquals(1, request.executedAt.size(), request.id + " executed at " + request.executedAt);
            } else if (request.requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                if (request.requestClass.deduplicationScope() == DeduplicationScope.CELL) {
                    assertEquals(
                            1,
                            request.executedAt.stream().distinct().count(),
                            "executed in several cells: " + request.executedAt);
                }
                assertTrue(
                        fixture.scheduler.now() - request.executedMs.get(0)
                                <= request.requestClass.deduplicationWindowMs() + 350,
                        request.id + " at " + request.executedMs);
            }
            sent.add(one);
        }

        /** Reports the result of an attempt that was sent or that could not be sent. */
        private void reportResult() {
            boolean wasSent = !sent.isEmpty() && random.nextInt(3) > 0;
            if (!wasSent && decisions.isEmpty()) {
                return;
            }
            List<Decision> source = wasSent ? sent : decisions;
            Decision one = source.remove(random.nextInt(source.size()));
            ExtProcFixture.Stream stream = one.stream();
            if (stream.isCancelled() || stream.endCount > 0) {
                return;
            }
            stream.send(
                    !wasSent
                            ? ExtProcFixture.response(503, ExtProcFixture.CONNECT_FAILED_FLAG)
                            : switch (random.nextInt(5)) {
                                case 0 -> ExtProcFixture.response(500, 0);
                                case 1 -> ExtProcFixture.response(503, ExtProcFixture.CONNECTION_LOST_FLAG);
                                case 2 -> ExtProcFixture.response(504, ExtProcFixture.TIMED_OUT_FLAG);
                                default -> ExtProcFixture.response(200, 0);
                            });
            if (stream.error == null) {
                note(stream.isPassedOn() ? "passed" : stream.status() > 0 ? "status " + stream.status() : "retriable");
            }
            assertEquals(1, stream.endCount);
        }

        private void cancelStream() {
            if (!streams.isEmpty()) {
                note("broken");
                streams.get(streams.size() - 1 - random.nextInt(Math.min(5, streams.size())))
                        .cancel();
            }
        }

        /** Cancels all streams and restarts the processor; undecided requests are dropped. */
        private void restart() {
            note("restart");
            streams.forEach(ExtProcFixture.Stream::cancel);
            collect();
            fixture.restart(endpoints());
        }

        private void finishAndCheck() {
            fixture.runDeferredTasks();
            streams.forEach(ExtProcFixture.Stream::cancel);
            for (ExtProcFixture.Stream stream : streams) {
                assertEquals(
                        stream.isCancelled() ? 0 : 1,
                        stream.endCount,
                        "ended " + stream.endCount + " times, cancelled: " + stream.isCancelled());
            }
            fixture.scheduler.advance(30_000);
            assertEquals(
                    List.of(0, 0, 0, 0),
                    List.of(
                            fixture.processor.openStreams(),
                            fixture.processor.pendingRequests(),
                            fixture.requestTracker.pendingRequests(),
                            fixture.processor.rememberedRequests()));
            assertEquals(0, fixture.scheduler.waiting());
        }
    }
}
