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

/** When a request has to have its final answer. */
class RequestParserTest {

    private static final double NOW = 1_000_000;
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

    private static double deadline(String told, double latest) throws InvalidRequestException {
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
        Headers head = new Headers(Map.of("X-Request-Id", "r", "X-Class", "read", "X-Deadline-Ms", told));
        return new RequestParser(settings).parse(head, NOW, latest).deadlineMs() - NOW;
    }

    /** Guards against answers that leave when the client's time is up, and so come after it. */
    @ParameterizedTest
    @CsvSource({"60, 57.6", "100, 96", "500, 480", "1000, 960", "2500, 2460", "9000, 2960"})
    void anAnswerIsDueBeforeTheClientsTimeIsUp(String told, double due) throws InvalidRequestException {
        assertEquals(due, deadline(told, Double.POSITIVE_INFINITY), 1e-6);
    }

    @ParameterizedTest
    @CsvSource({"1000, 300, 300", "1000, 960, 960", "1000, 970, 960"})
    void aProcessThatEndsAnswersBeforeItsEnd(String told, double latest, double due) throws InvalidRequestException {
        assertEquals(due, deadline(told, NOW + latest), 1e-6);
    }
}
