package martenlatch.fleet.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests reading scenario files: the plan that follows from a file and a seed, and the messages for invalid files. */
class ScenarioTest {

    private static final String VALID_FILE = """
        seed = %d
        seconds = 10
        [fleet]
        sidecars = 9
        endpoints = 4
        zones = ["north", "east"]
        [[class]]
        name = "look-up"
        effect = "repeatable"
        """;

    private static Scenario read(int seed, String more) throws IOException {
        return Scenario.of(new TomlMapper().readTree(VALID_FILE.formatted(seed) + more));
    }

    @Test
    void sameSeedGivesTheSamePlan() throws IOException {
        String faults = """
            [[fault]]
            at = 1
            for = 2
            do = "pause"
            who = "sidecars random 0.34"
            [[fault]]
            at = 2
            do = "link"
            from = "sidecars zone north"
            to = "endpoints zone east"
            cut = true
            direction = "backwards"
            """;
        Scenario one = read(4, faults);
        assertEquals(one, read(4, faults));
        assertEquals(3, one.faults().get(0).who().size());
        assertEquals(List.of("n0", "n2", "n4", "n6", "n8"), one.faults().get(1).who());
        assertEquals(List.of("s1", "s3"), one.faults().get(1).to());
        assertTrue(one.faults().get(1).backwards().silent()
                && !one.faults().get(1).onwards().silent());
        long differingPlans = IntStream.range(0, 20)
                .filter(seed -> {
                    try {
                        return !read(seed, faults)
                                .faults()
                                .get(0)
                                .who()
                                .equals(one.faults().get(0).who());
                    } catch (IOException e) {
                        throw new IllegalStateException(e);
                    }
                })
                .count();
        assertTrue(differingPlans > 10, "other seeds must select other sidecars");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "at = 1\\ndo = \"pause\"\\nwho = \"sidecar 0\"|fault.for must be above 0 seconds and is required",
                "at = -1\\ndo = \"kill\"\\nwho = \"sidecar 0\"|fault.at must be 0 or more seconds but is -1",
                "at = 11\\ndo = \"kill\"\\nwho = \"sidecar 0\"|fault.at must be within the run's 10.0 seconds",
                "at = 1\\ndo = \"vanish\"\\nwho = \"sidecar 0\"|fault.do must be one of [pause, crawl,",
                "at = 1\\ndo = \"kill\"\\nwho = \"sidecar 9\"|fault.who must name one of 9, counted from 0",
                "at = 1\\ndo = \"kill\"\\nwho = \"endpoint 1\"|fault.who must be of sidecars for kill but is",
                "at = 1\\ndo = \"kill\"\\nwho = \"sidecars zone south\"|fault.who must name one of the zones",
                "at = 1\\ndo = \"kill\"\\nwho = \"sidecars random 2\"|fault.who must be sidecar N, sidecars,",
                "at = 1\\ndo = \"kill\"\\nwho = \"sidecar 1\"\\nwhen = 2|fault.when is no setting; there are [at,",
                "at = 1\\ndo = \"kill\"\\nwho = \"sidecar 1\"\\nloss = 0.1|fault.loss does not apply to kill",
                "at = 1\\ndo = \"link\"\\nfrom = \"endpoints\"\\nto = \"sidecars\"|fault.to must be at the other end",
                "at = 1\\ndo = \"link\"\\nfrom = \"clients\"\\nto = \"sidecars\"\\nloss = 2|fault.loss must be",
            })
    void invalidFaultIsRejectedWithFieldAndValue(String fault, String message) {
        String actual = assertThrows(
                        IllegalArgumentException.class,
                        () -> read(1, "[[fault]]\n" + fault.replace("\\n", "\n") + "\n"))
                .getMessage();
        assertTrue(actual.startsWith(message), actual);
    }

    @Test
    void faultsOutOfOrderAreRejected() {
        String actual =
                assertThrows(IllegalArgumentException.class, () -> read(1, """
            [[fault]]
            at = 3
            do = "silent"
            [[fault]]
            at = 2
            do = "silent"
            """)).getMessage();
        assertEquals("fault.at must not be earlier than that of the previous fault (3.0) but is 2.0", actual);
    }
}
