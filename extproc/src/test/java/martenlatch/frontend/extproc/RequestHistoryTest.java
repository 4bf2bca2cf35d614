package martenlatch.frontend.extproc;

import static martenlatch.frontend.extproc.ExtProcFixture.ORDER;
import static martenlatch.frontend.extproc.ExtProcFixture.PUT;
import static martenlatch.frontend.extproc.ExtProcFixture.READ;
import static martenlatch.frontend.extproc.ExtProcFixture.SAVE;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import martenlatch.frontend.extproc.RequestHistory.Arrival;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the classification of arrivals against the table in docs/external-processor.md. */
class RequestHistoryTest {

    private static final double NEVER = Double.NaN;
    private static final List<RequestClass> CLASSES = List.of(READ, ORDER, SAVE, PUT);

    private final RequestHistory history = new RequestHistory(3, 10_000);

    private static RequestClass requestClass(String name) {
        return CLASSES.stream()
                .filter(requestClass -> requestClass.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Arrival arrive(double now, RequestClass requestClass, int attempt) {
        return history.onArrival(now, "r", requestClass, attempt, false);
    }

    /** An attempt above 1 of an unknown id means that an earlier process decided on the first attempt. */
    @ParameterizedTest
    @CsvSource({
        "read,0,NEW_REQUEST",
        "read,1,NEW_REQUEST",
        "read,2,NEW_REQUEST",
        "order,0,NEW_REQUEST",
        "order,1,NEW_REQUEST",
        "order,2,MAY_HAVE_EXECUTED",
        "save,1,NEW_REQUEST",
        "save,2,MAY_HAVE_EXECUTED",
        "put,1,NEW_REQUEST",
        "put,2,NEW_REQUEST"
    })
    void unknownIdIsClassifiedByClassAndAttemptCount(String requestClass, int attempt, Arrival expected) {
        assertEquals(expected, arrive(0, requestClass(requestClass), attempt));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void secondStreamIsInFlightUnlessItsAttemptCountIsHigher(String name) {
        RequestClass requestClass = requestClass(name);
        assertEquals(Arrival.NEW_REQUEST, arrive(0, requestClass, 1));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, requestClass, 1));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, requestClass, 0));
        assertEquals(Arrival.NEXT_ATTEMPT, arrive(2, requestClass, 2), "the proxy has given up the first attempt");
        assertEquals(Arrival.IN_FLIGHT, arrive(3, requestClass, 2));
    }

    @Test
    void withoutAnAttemptCountADecidedRequestStaysInFlight() {
        assertEquals(Arrival.NEW_REQUEST, arrive(0, READ, 0));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, READ, 0));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, READ, 1));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void lostOrOfferedRequestAcceptsTheNextAttempt(String name) {
        RequestClass requestClass = requestClass(name);
        arrive(0, requestClass, 1);
        history.onStreamLost("r");
        assertEquals(
                Arrival.NEXT_ATTEMPT, arrive(1, requestClass, 1), "the stream is lost, whatever the attempt count");
        history.onOffered("r");
        assertEquals(Arrival.NEXT_ATTEMPT, arrive(2, requestClass, 0));
        assertEquals(Arrival.IN_FLIGHT, arrive(3, requestClass, 1));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void requestThatNeverExecutedMayBeRetried(String name) {
        arrive(0, requestClass(name), 1);
        history.onEnded(1, "r", requestClass(name), NEVER);
        assertEquals(Arrival.NEW_REQUEST, arrive(2, requestClass(name), 2));
        history.onEnded(3, "r", requestClass(name), NEVER);
        history.forgetOld(10_003);
        assertEquals(0, history.size());
    }

    /** Also holds after a success: an answered request must not execute again. The window of "put" ends at 4500 ms. */
    @ParameterizedTest
    @CsvSource({
        "read,2,NEW_REQUEST",
        "order,2,MAY_HAVE_EXECUTED",
        "order,9999,MAY_HAVE_EXECUTED",
        "save,2,MAY_HAVE_EXECUTED",
        "put,2,NEW_REQUEST",
        "put,4499,NEW_REQUEST",
        "put,4500,MAY_HAVE_EXECUTED"
    })
    void requestThatMayHaveExecutedIsRepeatedOnlyIfSafe(String name, double later, Arrival expected) {
        arrive(0, requestClass(name), 1);
        history.onEnded(1, "r", requestClass(name), 0);
        assertEquals(expected, arrive(later, requestClass(name), 1));
    }

    /** The first execution counts, even if a later request of the same id is known not to have executed. */
    @Test
    void deduplicationWindowStartsAtTheFirstExecution() {
        arrive(0, PUT, 1);
        history.onEnded(100, "r", PUT, 0);
        assertEquals(Arrival.NEW_REQUEST, arrive(4000, PUT, 1));
        history.onEnded(4100, "r", PUT, NEVER);
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(4600, PUT, 1));
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(10_150, PUT, 1), "it is remembered from its second end");
        history.forgetOld(14_100);
        assertEquals(0, history.size());
    }

    /** Every earlier attempt must be known not to have executed; a gap is an attempt of unknown outcome. */
    @Test
    void unexecutedAttemptsCountOnlyWithoutGaps() {
        history.onNeverExecuted(0, "r", ORDER, 2);
        assertEquals(0, history.size(), "the outcome of the first attempt is unknown");
        history.onNeverExecuted(0, "r", ORDER, 1);
        history.onNeverExecuted(0, "r", ORDER, 2);
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(1, ORDER, 4));
        assertEquals(Arrival.NEW_REQUEST, arrive(1, ORDER, 3));
        history.onNeverExecuted(2, "r", ORDER, 4);
        history.onEnded(3, "r", ORDER, 2);
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(4, ORDER, 5), "the third attempt may have executed");
    }

    @Test
    void oldestUnexecutedRequestIsEvicted() {
        for (String id : List.of("a", "b", "c", "d")) {
            history.onNeverExecuted(0, id, ORDER, 1);
        }
        assertEquals(3, history.size());
        assertEquals(Arrival.MAY_HAVE_EXECUTED, history.onArrival(1, "a", ORDER, 2, false));
        assertEquals(Arrival.NEW_REQUEST, history.onArrival(1, "d", ORDER, 2, false));
    }

    @Test
    void requestPendingInTheTrackerIsInFlight() {
        assertEquals(Arrival.IN_FLIGHT, history.onArrival(0, "r", READ, 0, true));
        assertEquals(0, history.size());
    }

    @Test
    void fullTableForgetsNoUnsafeRequestEarly() {
        for (String id : List.of("a", "b", "c")) {
            assertEquals(Arrival.NEW_REQUEST, history.onArrival(0, id, ORDER, 1, false));
            history.onEnded(1, id, ORDER, 0);
        }
        assertEquals(Arrival.TABLE_FULL, history.onArrival(2, "d", READ, 1, false));
        assertEquals(Arrival.MAY_HAVE_EXECUTED, history.onArrival(10_000, "a", ORDER, 2, false));
        assertEquals(Arrival.NEW_REQUEST, history.onArrival(10_001, "d", READ, 1, false));
        assertEquals(1, history.size());
    }

    /** Guards against unbounded growth of the list of ended requests when one id repeats within its window. */
    @Test
    void endedRequestsOfOneIdAreBounded() {
        for (int i = 0; i < 3; i++) {
            assertEquals(Arrival.NEW_REQUEST, arrive(i, PUT, 1));
            history.onEnded(i, "r", PUT, 0);
        }
        assertEquals(Arrival.TABLE_FULL, arrive(3, PUT, 1));
    }
}
