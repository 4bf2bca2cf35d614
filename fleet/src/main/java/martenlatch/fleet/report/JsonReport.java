package martenlatch.fleet.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;

/** Writes a run as JSON; NaN and infinite numbers, such as the time of a missing recovery, are strings. */
public final class JsonReport {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private JsonReport() {}

    /** Writes the report. */
    public static void write(Path file, RunRecord run, Verdict verdict) throws IOException {
        Timeline timeline = Timeline.of(run);
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("version", 1);
        report.put("scenario", run.scenario().name());
        report.put("seed", run.scenario().seed());
        report.put("outcome", verdict.outcome().name());
        report.put("figures", verdict.figures());
        report.put("findings", verdict.findings());
        report.put("spoilt", verdict.spoilt());
        report.put("faults", Timeline.faults(run));
        report.put("step_ms", timeline.stepMs());
        report.put("counts", timeline.counts());
        report.put("states", timeline.states());
        JSON.writeValue(file.toFile(), report);
    }
}
