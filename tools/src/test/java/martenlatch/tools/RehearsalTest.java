package martenlatch.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import martenlatch.load.LoadClass;
import martenlatch.load.LoadReport;
import martenlatch.load.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class RehearsalTest {

    /** Each class goes its own way through the code, so each is sent; and the rehearsal ends by itself. */
    @Test
    void allClassesAreSentAndServed() throws Exception {
        LoadReport report = Rehearsal.play(List.of(
                new LoadClass("look-up", 1, LoadClass.Effect.REPEATABLE, 0, 30_000, 0),
                new LoadClass("update", 1, LoadClass.Effect.KEYED, 300, 30_000, 1),
                new LoadClass("book", 1, LoadClass.Effect.UNSAFE, 300, 30_000, 0)));
        assertEquals(3, report.classes().size());
        assertEquals(report.all().wishes(), report.all().count(RequestOutcome.SERVED));
        assertEquals(List.of(), report.differences());
    }
}
