package martenlatch.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;

/**
 * Replays seeded sequences of events and compares every action with a recording of an earlier version, so that a
 * refactoring cannot change decisions unnoticed. If the system property {@code decisions.record} names a file, the
 * actions are written to it and not compared.
 */
class RecordedDecisionsTest {

    private static final String RECORDING = "/recorded-decisions.txt.gz";
    private static final int SEQUENCES = 24;
    private static final int STEPS = 1500;

    private static List<String> replay() {
        List<String> lines = new ArrayList<>();
        for (int seed = 1; seed <= SEQUENCES; seed++) {
            lines.add("sequence " + seed);
            new DecisionSequence(seed, lines::add).run(STEPS);
        }
        return lines;
    }

    @Test
    void everyActionEqualsTheRecording() throws IOException {
        List<String> replayed = replay();
        String target = System.getProperty("decisions.record");
        if (target != null) {
            writeRecording(Path.of(target), replayed);
            return;
        }
        List<String> recorded = readRecording();
        for (int i = 0; i < Math.min(recorded.size(), replayed.size()); i++) {
            assertEquals(recorded.get(i), replayed.get(i), "line " + (i + 1));
        }
        assertEquals(recorded.size(), replayed.size());
        assertTrue(recorded.size() > 10_000, "number of recorded actions: " + recorded.size());
    }

    private static void writeRecording(Path target, List<String> lines) throws IOException {
        try (Writer out =
                new OutputStreamWriter(new GZIPOutputStream(Files.newOutputStream(target)), StandardCharsets.UTF_8)) {
            for (String line : lines) {
                out.write(line + "\n");
            }
        }
    }

    private static List<String> readRecording() throws IOException {
        try (InputStream in = RecordedDecisionsTest.class.getResourceAsStream(RECORDING);
                BufferedReader lines =
                        new BufferedReader(new InputStreamReader(new GZIPInputStream(in), StandardCharsets.UTF_8))) {
            return lines.lines().toList();
        }
    }
}
