package martenlatch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the deadline that the parser computes for the final response to a request. */
class RequestParserTest {

    private static final double NOW_MS = 1_000_000;
    private static final int CLASS_DEADLINE_MS = 3000;

    private record Headers(Map<String, String> values) implements RequestHead {
        @Override
        public String method() {
            return "GET";
        }

        @Override
        public String first(String name) {
            return values.get(name);
        }

        @Override
        public boolean isRepeated(String name) {
            return false;
        }
    }

    private static double deadlineFromNowMs(String headerMs, double maxDeadlineMs) throws InvalidRequestException {
        BalancerSettings settings = new BalancerSettings(
                1,
                0,
                0,
                0,
                false,
                false,
                0.1,
                0,
                List.of(new RequestClass(
                        "read",
                        300,
                        CLASS_DEADLINE_MS,
                        1,
                        0,
                        Idempotency.IDEMPOTENT,
                        DeduplicationScope.ALL,
                        0,
                        false)),
                List.of(),
                new AttemptLimits(3, true, true, 2000, 250),
                new EndpointRules(0.3, 9000, 3, 1000, 1000, 10_000));
        Headers head = new Headers(Map.of("X-Request-Id", "r", "X-Class", "read", "X-Deadline-Ms", headerMs));
        return new RequestParser(settings).parse(head, NOW_MS, maxDeadlineMs).deadlineMs() - NOW_MS;
    }

    /** Guards against responses that are sent when the time of the client is up and therefore arrive too late. */
    @ParameterizedTest
    @CsvSource({"60, 57.6", "100, 96", "500, 480", "1000, 960", "2500, 2460", "9000, 2960"})
    void deadlineLeavesTimeForTheResponseToReachTheClient(String headerMs, double expectedMs)
            throws InvalidRequestException {
        assertEquals(expectedMs, deadlineFromNowMs(headerMs, Double.POSITIVE_INFINITY), 1e-6);
    }

    /** Guards against a process that shuts down before the deadlines of its requests. */
    @ParameterizedTest
    @CsvSource({"1000, 300, 300", "1000, 960, 960", "1000, 970, 960"})
    void deadlineIsCappedByTheMaximum(String headerMs, double maxDeadlineMs, double expectedMs)
            throws InvalidRequestException {
        assertEquals(expectedMs, deadlineFromNowMs(headerMs, NOW_MS + maxDeadlineMs), 1e-6);
    }
}
