package martenlatch.fleet.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;

/** A run as JSON, for programs; numbers that are none (no recovery) are strings. */
public final class JsonReport {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private JsonReport() {}

    /** Writes it. */
    public static void write(Path file, RunRecord run, Verdict verdict) throws IOException {
        Timeline timeline = Timeline.of(run);
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("version", 1);
        all.put("scenario", run.scenario().name());
        all.put("seed", run.scenario().seed());
        all.put("outcome", verdict.outcome().name());
        all.put("figures", verdict.figures());
        all.put("findings", verdict.findings());
        all.put("spoilt", verdict.spoilt());
        all.put("faults", Timeline.faults(run));
        all.put("step_ms", timeline.stepMs());
        all.put("counts", timeline.counts());
        all.put("states", timeline.states());
        JSON.writeValue(file.toFile(), all);
    }
}
