package martenlatch.discovery;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.SplittableRandom;
import martenlatch.policy.ConfirmationSchedule;
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
            () -> new PollTiming(20_000, 1000, PollTiming.FULL_LIST_TIMEOUT_MS, 1000, PollTiming.MAX_RESPONSE_MS));

    WatcherTestCase() {
        watcher.setListener(transport, 7);
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
