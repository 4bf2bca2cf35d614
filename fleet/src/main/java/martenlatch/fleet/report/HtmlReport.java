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

/** A run as one page without outside files: curves over time, faults as bands, a row for each process. */
public final class HtmlReport {

    private static final int WIDTH = 960;
    private static final int HEIGHT = 180;
    private static final int ROW = 14;
    private static final int LEFT = 60;
    private static final Map<String, String> COLOURS = Map.of(
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
    private static final Map<String, String> STATES = Map.of("up", "#d2f0d9", "leaving", "#f5dfa0", "away", "#e7a3a8");

    private HtmlReport() {}

    /** Writes it. */
    public static void write(Path file, RunRecord run, Verdict verdict) throws IOException {
        Timeline timeline = Timeline.of(run);
        ByteArrayOutputStream words = new ByteArrayOutputStream();
        TextReport.print(run, verdict, new PrintStream(words, true, StandardCharsets.UTF_8));
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
        plot(page, run, timeline, List.of("asked", "served", "refused", "failed"), "requests, by when they were asked");
        plot(page, run, timeline, List.of("attempts", "asked"), "attempts by sidecars");
        plot(page, run, timeline, List.of("open"), "requests in hand");
        grid(page, run, timeline);
        page.append("<pre>")
                .append(escape(words.toString(StandardCharsets.UTF_8)))
                .append("</pre></html>");
        Files.writeString(file, page);
    }

    private static double x(RunRecord run, double ms) {
        return LEFT
                + (WIDTH - LEFT) * Math.max(0, Math.min(1, ms / (run.scenario().seconds() * 1000)));
    }

    private static void bands(StringBuilder page, RunRecord run, int height) {
        for (Fault fault : run.scenario().faults()) {
            double from = x(run, fault.atMs());
            double to = Math.max(from + 2, x(run, fault.endMs()));
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

    private static void plot(StringBuilder page, RunRecord run, Timeline timeline, List<String> names, String title) {
        int most = Math.max(
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
                .append(HEIGHT + 20)
                .append("\">");
        bands(page, run, HEIGHT);
        int key = LEFT;
        for (String name : names) {
            StringBuilder points = new StringBuilder();
            int[] values = timeline.counts().get(name);
            for (int i = 0; i < values.length; i++) {
                points.append(String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        x(run, i * timeline.stepMs()),
                        HEIGHT - (HEIGHT - 10.0) * values[i] / most));
            }
            page.append("<polyline fill=\"none\" stroke-width=\"1.5\" stroke=\"")
                    .append(COLOURS.get(name))
                    .append("\" points=\"")
                    .append(points)
                    .append("\"/><text x=\"")
                    .append(key)
                    .append("\" y=\"")
                    .append(HEIGHT + 14)
                    .append("\" fill=\"")
                    .append(COLOURS.get(name))
                    .append("\">")
                    .append(name)
                    .append("</text>");
            key += 70;
        }
        page.append(String.format(
                Locale.ROOT,
                "<text x=\"0\" y=\"12\">%.0f a second</text><text x=\"0\" y=\"%d\">0"
                        + "</text><text x=\"%d\" y=\"%d\">%.0f s</text></svg>",
                most * 1000 / timeline.stepMs(),
                HEIGHT,
                WIDTH - 30,
                HEIGHT + 14,
                run.scenario().seconds()));
    }

    private static void grid(StringBuilder page, RunRecord run, Timeline timeline) {
        int height = ROW * timeline.states().size();
        page.append("<h2>processes: up, leaving, away</h2><svg width=\"")
                .append(WIDTH)
                .append("\" height=\"")
                .append(height)
                .append("\">");
        int row = 0;
        for (Map.Entry<String, List<String>> one : timeline.states().entrySet()) {
            page.append("<text x=\"0\" y=\"")
                    .append(row + ROW - 3)
                    .append("\">")
                    .append(one.getKey())
                    .append("</text>");
            for (int i = 0; i < one.getValue().size(); i++) {
                double from = x(run, i * timeline.stepMs());
                page.append(String.format(
                        Locale.ROOT,
                        "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" " + "fill=\"%s\"/>",
                        from,
                        row,
                        x(run, (i + 1) * timeline.stepMs()) - from,
                        ROW - 2,
                        STATES.get(one.getValue().get(i))));
            }
            row += ROW;
        }
        bands(page, run, height);
        page.append("</svg>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace("\"", "&quot;");
    }
}
