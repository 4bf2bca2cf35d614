package martenlatch.fleet.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs built-in scenarios with real processes: six sidecars, twelve endpoints, two zones.
 */
@Timeout(value = 240, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MainTest {

    private static final int MAX_RUNS = 3;
    private static final int VOID = 3;

    @TempDir
    Path folder;

    private int run(String... args) {
        int status = VOID;
        for (int i = 0; i < MAX_RUNS && status == VOID; i++) {
            status = Main.execute(args);
        }
        return status;
    }

    @ParameterizedTest
    @ValueSource(strings = {"pause", "one-way", "third-killed", "discovery-silent", "lossy-zone", "moved-together"})
    void builtInScenarioMeetsItsPassCriteria(String name) throws Exception {
        Path json = folder.resolve("report.json");
        Path html = folder.resolve("report.html");
        assertEquals(
                0,
                run("run", name, "--quiet", "--root", "..", "--json", json.toString(), "--html", html.toString()),
                () -> reportText(json));
        JsonNode report = new ObjectMapper().readTree(json.toFile());
        assertEquals("HELD", report.path("outcome").asText());
        assertTrue(
                report.path("figures").path("asked").asInt() > 1200,
                report.path("figures").toString());
        assertTrue(report.path("faults").size() > 0);
        assertTrue(Files.readString(html).contains("HELD"));
    }

    private static String reportText(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            return "no report: " + e;
        }
    }

    @Test
    void invalidCommandLineExitsWithStatusTwo() {
        assertEquals(2, Main.execute("run", "no-such-scenario"));
        assertEquals(2, Main.execute());
        assertEquals(0, Main.execute("list"));
    }
}
