package martenlatch.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import martenlatch.load.LoadClass;
import martenlatch.load.LoadReport;
import martenlatch.load.RequestOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(60)
class GeneratorWarmUpTest {

    /** Each request class has its own code path, so the warm-up must send all of them; and it must end by itself. */
    @Test
    void sendsAndServesAllClasses() throws Exception {
        LoadReport report = GeneratorWarmUp.run(List.of(
                new LoadClass("look-up", 1, LoadClass.Effect.REPEATABLE, 0, 30_000, 0),
                new LoadClass("update", 1, LoadClass.Effect.KEYED, 300, 30_000, 1),
                new LoadClass("book", 1, LoadClass.Effect.UNSAFE, 300, 30_000, 0)));
        assertEquals(3, report.classes().size());
        assertEquals(report.all().wishes(), report.all().count(RequestOutcome.SERVED));
        assertEquals(List.of(), report.differences());
    }
}
