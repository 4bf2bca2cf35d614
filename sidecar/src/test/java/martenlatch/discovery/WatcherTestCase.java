package martenlatch.discovery;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.SplittableRandom;
import martenlatch.policy.ConfirmationSchedule;
import martenlatch.policy.EndpointListAge;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;

/** A watcher of endpoint lists with a recorded transport and a clock that the test advances. */
abstract class WatcherTestCase {

    final TestClock clock = new TestClock();
    final PollRecorder transport = new PollRecorder();
    final EndpointListWatcher watcher = new EndpointListWatcher(
            clock,
            transport,
            new RateLimitedLogger(clock, new PrintStream(OutputStream.nullOutputStream())),
            new ConfirmationSchedule(1, new SplittableRandom(1)),
            new EndpointListAge(settings(true, 10_000)),
            () -> new PollTiming(
                    20_000, 1000, PollTiming.FULL_LIST_TIMEOUT_MS, 1000, PollTiming.MAX_RESPONSE_MS, false));

    WatcherTestCase() {
        watcher.setListener(transport, 7);
    }

    static BalancerSettings settings(boolean pollsEndpointList, double pollIntervalMs) {
        return new BalancerSettings(
                1,
                0,
                0,
                0,
                pollsEndpointList,
                false,
                1,
                0,
                List.of(new RequestClass(
                        "read", 100, 1000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false)),
                List.of(),
                new AttemptLimits(3, false, true, 0, 100),
                new EndpointRules(1, 0, 1, 1000, 500, pollIntervalMs));
    }

    static EndpointList list(long version) {
        return new EndpointList(version, true, List.of());
    }

    static EndpointList delta(long version) {
        return new EndpointList(version, false, List.of());
    }

    /** Answers a poll with a list that has no entries. */
    void answer(long number, long version) {
        transport.isFromPreviousAddress = transport.superseded.containsKey(number);
        if (transport.outstanding != null && transport.outstanding.number() == number) {
            transport.outstanding = null;
        }
        watcher.onList(number, list(version));
    }

    /** Answers the first poll, number 1, and starts a watch, number 2. */
    void startWatch() {
        watcher.start();
        answer(1, 7);
        watcher.start();
    }
}
