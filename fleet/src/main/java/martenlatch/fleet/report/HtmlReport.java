package martenlatch.fleet.report;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import martenlatch.fleet.judge.RunRecord;
import martenlatch.fleet.judge.Verdict;
import martenlatch.fleet.scenario.Fault;

/** Writes a run as one self-contained HTML page: curves over time, faults as bands, a row for each process. */
public final class HtmlReport {

    private static final int WIDTH = 960;
    private static final int PLOT_HEIGHT = 180;
    private static final int ROW_HEIGHT = 14;
    private static final int PLOT_LEFT = 60;
    private static final Map<String, String> CURVE_COLOURS = Map.of(
            "asked",
            "#999999",
            "served",
            "#1a7f37",
            "refused",
            "#bf8700",
            "failed",
            "#cf222e",
            "attempts",
            "#0969da",
            "open",
            "#8250df");
    private static final Map<String, String> STATE_COLOURS =
            Map.of("up", "#d2f0d9", "leaving", "#f5dfa0", "away", "#e7a3a8");

    private HtmlReport() {}

    /** Writes the page. */
    public static void write(Path file, RunRecord run, Verdict verdict) throws IOException {
        Timeline timeline = Timeline.of(run);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        TextReport.print(run, verdict, new PrintStream(text, true, StandardCharsets.UTF_8));
        StringBuilder page = new StringBuilder("<!doctype html><html lang=\"en\">" + "<meta charset=\"utf-8\"><title>")
                .append(escape(run.scenario().name()))
                .append("</title><style>"
                        + "body{font:14px sans-serif;margin:2em}"
                        + "svg{display:block;margin:0 0 1em}text{font:11px sans-serif}</style><h1>")
                .append(escape(run.scenario().name()))
                .append(": ")
                .append(verdict.outcome())
                .append("</h1><p>")
                .append(escape(run.scenario().about()))
                .append("</p>");
        appendPlot(
                page,
                run,
                timeline,
                List.of("asked", "served", "refused", "failed"),
                "requests, by when they were asked");
        appendPlot(page, run, timeline, List.of("attempts", "asked"), "attempts by sidecars");
        appendPlot(page, run, timeline, List.of("open"), "requests in hand");
        appendProcessRows(page, run, timeline);
        page.append("<pre>")
                .append(escape(text.toString(StandardCharsets.UTF_8)))
                .append("</pre></html>");
        Files.writeString(file, page);
    }

    private static double xOf(RunRecord run, double ms) {
        return PLOT_LEFT
                + (WIDTH - PLOT_LEFT)
                        * Math.max(0, Math.min(1, ms / (run.scenario().seconds() * 1000)));
    }

    private static void appendFaultBands(StringBuilder page, RunRecord run, int height) {
        for (Fault fault : run.scenario().faults()) {
            double from = xOf(run, fault.atMs());
            double to = Math.max(from + 2, xOf(run, fault.endMs()));
            page.append(String.format(
                    Locale.ROOT,
                    "<rect x=\"%.1f\" y=\"0\" width=\"%.1f\" height=\"%d\" "
                            + "fill=\"#000000\" opacity=\"0.07\"><title>%s</title></rect>",
                    from,
                    to - from,
                    height,
                    escape(fault.toString())));
        }
    }

    private static void appendPlot(
            StringBuilder page, RunRecord run, Timeline timeline, List<String> names, String title) {
        int maxCount = Math.max(
                1,
                names.stream()
                        .flatMapToInt(n -> Arrays.stream(timeline.counts().get(n)))
                        .max()
                        .orElse(1));
        page.append("<h2>")
                .append(title)
                .append("</h2><svg width=\"")
                .append(WIDTH)
                .append("\" height=\"")
                .append(PLOT_HEIGHT + 20)
                .append("\">");
        appendFaultBands(page, run, PLOT_HEIGHT);
        int legendX = PLOT_LEFT;
        for (String name : names) {
            StringBuilder points = new StringBuilder();
            int[] values = timeline.counts().get(name);
            for (int i = 0; i < values.length; i++) {
                points.append(String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        xOf(run, i * timeline.stepMs()),
                        PLOT_HEIGHT - (PLOT_HEIGHT - 10.0) * values[i] / maxCount));
            }
            page.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"")
                    .append(CURVE_COLOURS.get(name))
                    .append("\" points=\"")
                    .append(points)
                    .append("\"/><text x=\"")
                    .append(legendX)
                    .append("\" y=\"")
                    .append(PLOT_HEIGHT + 14)
                    .append("\" fill=\"")
                    .append(CURVE_COLOURS.get(name))
                    .append("\">")
                    .append(name)
                    .append("</text>");
            legendX += 70;
        }
        page.append(String.format(
                Locale.ROOT,
                "<text x=\"0\" y=\"12\">%.0f a second</text><text x=\"0\" y=\"%d\">0"
                        + "</text><text x=\"%d\" y=\"%d\">%.0f s</text></svg>",
                maxCount * 1000 / timeline.stepMs(),
                PLOT_HEIGHT,
                WIDTH - 30,
                PLOT_HEIGHT + 14,
                run.scenario().seconds()));
    }

    private static void appendProcessRows(StringBuilder page, RunRecord run, Timeline timeline) {
        int height = ROW_HEIGHT * timeline.states().size();
        page.append("<h2>processes: up, leaving, away</h2><svg width=\"")
                .append(WIDTH)
                .append("\" height=\"")
                .append(height)
                .append("\">");
        int rowY = 0;
        for (Map.Entry<String, List<String>> one : timeline.states().entrySet()) {
            page.append("<text x=\"0\" y=\"")
                    .append(rowY + ROW_HEIGHT - 3)
                    .append("\">")
                    .append(one.getKey())
                    .append("</text>");
            for (int i = 0; i < one.getValue().size(); i++) {
                double from = xOf(run, i * timeline.stepMs());
                page.append(String.format(
                        Locale.ROOT,
                        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" " + "fill=\"%s\"/>",
                        from,
                        rowY,
                        xOf(run, (i + 1) * timeline.stepMs()) - from,
                        ROW_HEIGHT - 2,
                        STATE_COLOURS.get(one.getValue().get(i))));
            }
            rowY += ROW_HEIGHT;
        }
        appendFaultBands(page, run, height);
        page.append("</svg>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
