package martenlatch.front.extproc;

import static martenlatch.front.extproc.Desk.ORDER;
import static martenlatch.front.extproc.Desk.PUT;
import static martenlatch.front.extproc.Desk.READ;
import static martenlatch.front.extproc.Desk.SAVE;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import martenlatch.front.extproc.Consultations.Kind;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The table of docs/external-processor.md, cell by cell and effect by effect. */
class ConsultationsTest {

    private static final double NEVER = Double.NaN;
    private static final List<RequestClass> KINDS = List.of(READ, ORDER, SAVE, PUT);

    private final Consultations known = new Consultations(3, 10_000);

    private static RequestClass kind(String name) {
        return KINDS.stream()
                .filter(kind -> kind.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Kind arrive(double now, RequestClass kind, int attempt) {
        return known.arrive(now, "r", kind, attempt, false);
    }

    /** Attempts above 1 of an id that nobody knows: a program before this one has decided on the first. */
    @ParameterizedTest
    @CsvSource({
        "read,0,FIRST",
        "read,1,FIRST",
        "read,2,FIRST",
        "order,0,FIRST",
        "order,1,FIRST",
        "order,2,MAY_HAVE_RUN",
        "save,1,FIRST",
        "save,2,MAY_HAVE_RUN",
        "put,1,FIRST",
        "put,2,FIRST"
    })
    void unknown(String kind, int attempt, Kind expected) {
        assertEquals(expected, arrive(0, kind(kind), attempt));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void whileADecisionIsOut(String name) {
        RequestClass kind = kind(name);
        assertEquals(Kind.FIRST, arrive(0, kind, 1));
        assertEquals(Kind.IN_HAND, arrive(1, kind, 1));
        assertEquals(Kind.IN_HAND, arrive(1, kind, 0));
        assertEquals(Kind.NEXT, arrive(2, kind, 2), "the proxy has given the first one up");
        assertEquals(Kind.IN_HAND, arrive(3, kind, 2));
    }

    @Test
    void aProxyThatCountsNothingCannotGiveUpByCounting() {
        assertEquals(Kind.FIRST, arrive(0, READ, 0));
        assertEquals(Kind.IN_HAND, arrive(1, READ, 0));
        assertEquals(Kind.IN_HAND, arrive(1, READ, 1));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void afterTheStreamBrokeAndAfterAnOffer(String name) {
        RequestClass kind = kind(name);
        arrive(0, kind, 1);
        known.lost("r");
        assertEquals(Kind.NEXT, arrive(1, kind, 1), "it is lost, whatever the count says");
        known.offered("r");
        assertEquals(Kind.NEXT, arrive(2, kind, 0));
        assertEquals(Kind.IN_HAND, arrive(3, kind, 1));
    }

    @ParameterizedTest
    @CsvSource({"read", "order", "save", "put"})
    void afterAnEndThatNeverRan(String name) {
        arrive(0, kind(name), 1);
        known.ended(1, "r", kind(name), NEVER);
        assertEquals(Kind.FIRST, arrive(2, kind(name), 2));
        known.ended(3, "r", kind(name), NEVER);
        known.forgetOld(10_003);
        assertEquals(0, known.size());
    }

    /** Also after a served one: an answer is no leave to run again. The window of "put" ends at 4500. */
    @ParameterizedTest
    @CsvSource({
        "read,2,FIRST",
        "order,2,MAY_HAVE_RUN",
        "order,9999,MAY_HAVE_RUN",
        "save,2,MAY_HAVE_RUN",
        "put,2,FIRST",
        "put,4499,FIRST",
        "put,4500,MAY_HAVE_RUN"
    })
    void afterAnEndThatMayHaveRun(String name, double later, Kind expected) {
        arrive(0, kind(name), 1);
        known.ended(1, "r", kind(name), 0);
        assertEquals(expected, arrive(later, kind(name), 1));
    }

    /** The first run binds, also where the second of the same id is known not to have run. */
    @Test
    void aKeyedRequestThatRanAgainIsBoundByItsFirstRun() {
        arrive(0, PUT, 1);
        known.ended(100, "r", PUT, 0);
        assertEquals(Kind.FIRST, arrive(4000, PUT, 1));
        known.ended(4100, "r", PUT, NEVER);
        assertEquals(Kind.MAY_HAVE_RUN, arrive(4600, PUT, 1));
        assertEquals(Kind.MAY_HAVE_RUN, arrive(10_150, PUT, 1), "it counts from the second end on");
        known.forgetOld(14_100);
        assertEquals(0, known.size());
    }

    /** Each attempt up to the last must be known not to have run; a gap is an attempt nobody knows of. */
    @Test
    void attemptsThatNeverRanAddUpWithoutGaps() {
        known.neverRan(0, "r", ORDER, 2);
        assertEquals(0, known.size(), "of the first nothing is known");
        known.neverRan(0, "r", ORDER, 1);
        known.neverRan(0, "r", ORDER, 2);
        assertEquals(Kind.MAY_HAVE_RUN, arrive(1, ORDER, 4));
        assertEquals(Kind.FIRST, arrive(1, ORDER, 3));
        known.neverRan(2, "r", ORDER, 4);
        known.ended(3, "r", ORDER, 2);
        assertEquals(Kind.MAY_HAVE_RUN, arrive(4, ORDER, 5), "the third may have");
    }

    @Test
    void whatNeverRanMakesRoomForNewer() {
        for (String id : List.of("a", "b", "c", "d")) {
            known.neverRan(0, id, ORDER, 1);
        }
        assertEquals(3, known.size());
        assertEquals(Kind.MAY_HAVE_RUN, known.arrive(1, "a", ORDER, 2, false));
        assertEquals(Kind.FIRST, known.arrive(1, "d", ORDER, 2, false));
    }

    @Test
    void whatTheHostStillHasIsInHand() {
        assertEquals(Kind.IN_HAND, known.arrive(0, "r", READ, 0, true));
        assertEquals(0, known.size());
    }

    @Test
    void afterAFullMemoryNothingUnsafeIsForgottenEarly() {
        for (String id : List.of("a", "b", "c")) {
            assertEquals(Kind.FIRST, known.arrive(0, id, ORDER, 1, false));
            known.ended(1, id, ORDER, 0);
        }
        assertEquals(Kind.FULL, known.arrive(2, "d", READ, 1, false));
        assertEquals(Kind.MAY_HAVE_RUN, known.arrive(10_000, "a", ORDER, 2, false));
        assertEquals(Kind.FIRST, known.arrive(10_001, "d", READ, 1, false));
        assertEquals(1, known.size());
    }

    /** An id that runs again and again within its window must not fill what is behind the table. */
    @Test
    void endsOfOneIdAreBoundedToo() {
        for (int i = 0; i < 3; i++) {
            assertEquals(Kind.FIRST, arrive(i, PUT, 1));
            known.ended(i, "r", PUT, 0);
        }
        assertEquals(Kind.FULL, arrive(3, PUT, 1));
    }
}
