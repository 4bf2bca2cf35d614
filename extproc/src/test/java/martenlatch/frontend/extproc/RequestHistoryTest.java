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

/** The table of docs/external-processor.md, cell by cell and effect by effect. */
class RequestHistoryTest {

    private static final double NEVER = Double.NaN;
    private static final List<RequestClass> CLASSES = List.of(READ, ORDER, SAVE, PUT);

    private final RequestHistory history = new RequestHistory(3, 10_000);

    private static RequestClass kind(String name) {
        return CLASSES.stream()
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Arrival arrive(double now, RequestClass kind, int attempt) {
        return history.onArrival(now, "r", kind, attempt, false);
    }

    /** Attempts above 1 of an id that nobody knows: a program before this one has decided on the first. */
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
    void unknown(String kind, int attempt, Arrival expected) {
        assertEquals(expected, arrive(0, kind(kind), attempt));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void whileADecisionIsOut(String name) {
        RequestClass kind = kind(name);
        assertEquals(Arrival.NEW_REQUEST, arrive(0, kind, 1));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, kind, 1));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, kind, 0));
        assertEquals(Arrival.NEXT_ATTEMPT, arrive(2, kind, 2), "the proxy has given the first one up");
        assertEquals(Arrival.IN_FLIGHT, arrive(3, kind, 2));
    }

    @Test
    void aProxyThatCountsNothingCannotGiveUpByCounting() {
        assertEquals(Arrival.NEW_REQUEST, arrive(0, READ, 0));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, READ, 0));
        assertEquals(Arrival.IN_FLIGHT, arrive(1, READ, 1));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void afterTheStreamBrokeAndAfterAnOffer(String name) {
        RequestClass kind = kind(name);
        arrive(0, kind, 1);
        history.onStreamLost("r");
        assertEquals(Arrival.NEXT_ATTEMPT, arrive(1, kind, 1), "it is lost, whatever the count says");
        history.onOffered("r");
        assertEquals(Arrival.NEXT_ATTEMPT, arrive(2, kind, 0));
        assertEquals(Arrival.IN_FLIGHT, arrive(3, kind, 1));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void afterAnEndThatNeverRan(String name) {
        arrive(0, kind(name), 1);
        history.onEnded(1, "r", kind(name), NEVER);
        assertEquals(Arrival.NEW_REQUEST, arrive(2, kind(name), 2));
        history.onEnded(3, "r", kind(name), NEVER);
        history.forgetOld(10_003);
        assertEquals(0, history.size());
    }

    /** Also after a served one: an answer is no leave to run again. The window of "put" ends at 4500. */
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
    void afterAnEndThatMayHaveRun(String name, double later, Arrival expected) {
        arrive(0, kind(name), 1);
        history.onEnded(1, "r", kind(name), 0);
        assertEquals(expected, arrive(later, kind(name), 1));
    }

    /** The first run binds, also where the second of the same id is history not to have run. */
    @Test
    void aKeyedRequestThatRanAgainIsBoundByItsFirstRun() {
        arrive(0, PUT, 1);
        history.onEnded(100, "r", PUT, 0);
        assertEquals(Arrival.NEW_REQUEST, arrive(4000, PUT, 1));
        history.onEnded(4100, "r", PUT, NEVER);
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(4600, PUT, 1));
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(10_150, PUT, 1), "it counts from the second end on");
        history.forgetOld(14_100);
        assertEquals(0, history.size());
    }

    /** Each attempt up to the last must be history not to have run; a gap is an attempt nobody knows of. */
    @Test
    void attemptsThatNeverRanAddUpWithoutGaps() {
        history.onNeverExecuted(0, "r", ORDER, 2);
        assertEquals(0, history.size(), "of the first nothing is known");
        history.onNeverExecuted(0, "r", ORDER, 1);
        history.onNeverExecuted(0, "r", ORDER, 2);
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(1, ORDER, 4));
        assertEquals(Arrival.NEW_REQUEST, arrive(1, ORDER, 3));
        history.onNeverExecuted(2, "r", ORDER, 4);
        history.onEnded(3, "r", ORDER, 2);
        assertEquals(Arrival.MAY_HAVE_EXECUTED, arrive(4, ORDER, 5), "the third may have");
    }

    @Test
    void whatNeverRanMakesRoomForNewer() {
        for (String id : List.of("a", "b", "c", "d")) {
            history.onNeverExecuted(0, id, ORDER, 1);
        }
        assertEquals(3, history.size());
        assertEquals(Arrival.MAY_HAVE_EXECUTED, history.onArrival(1, "a", ORDER, 2, false));
        assertEquals(Arrival.NEW_REQUEST, history.onArrival(1, "d", ORDER, 2, false));
    }

    @Test
    void whatTheHostStillHasIsInHand() {
        assertEquals(Arrival.IN_FLIGHT, history.onArrival(0, "r", READ, 0, true));
        assertEquals(0, history.size());
    }

    @Test
    void afterAFullMemoryNothingUnsafeIsForgottenEarly() {
        for (String id : List.of("a", "b", "c")) {
            assertEquals(Arrival.NEW_REQUEST, history.onArrival(0, id, ORDER, 1, false));
            history.onEnded(1, id, ORDER, 0);
        }
        assertEquals(Arrival.TABLE_FULL, history.onArrival(2, "d", READ, 1, false));
        assertEquals(Arrival.MAY_HAVE_EXECUTED, history.onArrival(10_000, "a", ORDER, 2, false));
        assertEquals(Arrival.NEW_REQUEST, history.onArrival(10_001, "d", READ, 1, false));
        assertEquals(1, history.size());
    }

    /** An id that runs again and again within its window must not fill what is behind the table. */
    @Test
    void endsOfOneIdAreBoundedToo() {
        for (int i = 0; i < 3; i++) {
            assertEquals(Arrival.NEW_REQUEST, arrive(i, PUT, 1));
            history.onEnded(i, "r", PUT, 0);
        }
        assertEquals(Arrival.TABLE_FULL, arrive(3, PUT, 1));
    }
}
