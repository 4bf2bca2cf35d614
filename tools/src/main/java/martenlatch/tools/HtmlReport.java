package martenlatch.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import martenlatch.load.LoadReport;
import martenlatch.load.RequestOutcome;
import martenlatch.load.Second;

/** A run on one page that needs nothing else: plots over time as SVG, events marked, and the summary. */
public final class HtmlReport {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 200;
    private static final int LEFT = 60;
    private static final int BOTTOM = 24;

    private record Line(String name, String colour, ToDoubleFunction<Second> value) {}

    private HtmlReport() {}

    /**
     * Writes it.
     *
     * @param events what was done to the world, by second
     * @param summary the report in words
     */
    public static void write(Path file, String title, LoadReport report, Map<Integer, String> events, String summary)
            throws IOException {
        StringBuilder out = new StringBuilder("""
            <!DOCTYPE html><html lang="en"><meta charset="utf-8"><title>%s</title>
            <style>body{font:14px sans-serif;margin:2em;max-width:960px}pre{background:#f4f4f4;padding:1em;
            overflow:auto;font-size:12px}svg{background:#fff;border:1px solid #ccc}h2{margin:1.2em 0 .3em}
            .void{color:#b00;font-weight:bold}</style><h1>%s</h1>
            """.formatted(escaped(title), escaped(title)));
        out.append("<p")
                .append(report.lateness().voidFrom() < 0 ? "" : " class=\"void\"")
                .append(">")
                .append(escaped(report.verdict()))
                .append("</p>");
        out.append(plot(
                "Requests a second",
                report.seconds(),
                events,
                List.of(
                        new Line("sent", "#888", Second::wishes),
                        new Line("served", "#2a7", s -> s.count(RequestOutcome.SERVED)),
                        new Line("refused", "#e90", s -> s.count(RequestOutcome.REFUSED)),
                        new Line("failed", "#c22", s -> s.count(RequestOutcome.FAILED)),
                        new Line(
                                "timed out, not sent",
                                "#72c",
                                s -> s.count(RequestOutcome.TIMED_OUT) + s.count(RequestOutcome.NOT_SENT)))));
        out.append(plot(
                "Time from the intended send to the end, ms",
                report.seconds(),
                events,
                List.of(
                        new Line("p50", "#2a7", s -> s.ms(50)),
                        new Line("p90", "#e90", s -> s.ms(90)),
                        new Line("p99", "#c22", s -> s.ms(99)))));
        out.append(plot(
                "Sends that the generator itself was late with",
                report.seconds(),
                events,
                List.of(new Line("late sends", "#72c", Second::lateSends))));
        if (!events.isEmpty()) {
            out.append("<h2>Events</h2><ul>");
            events.forEach((second, what) -> out.append("<li>")
                    .append(second)
                    .append(" s: ")
                    .append(escaped(what))
                    .append("</li>"));
            out.append("</ul>");
        }
        out.append("<h2>Summary</h2><pre>").append(escaped(summary)).append("</pre></html>\n");
        Files.writeString(file, out);
    }

    private static String plot(String title, List<Second> seconds, Map<Integer, String> events, List<Line> lines) {
        double most = 1;
        for (Line line : lines) {
            for (Second second : seconds) {
                most = Math.max(most, line.value().applyAsDouble(second));
            }
        }
        double step = (WIDTH - LEFT - 10.0) / Math.max(1, seconds.size() - 1);
        double scale = (HEIGHT - BOTTOM - 10) / most;
        StringBuilder out = new StringBuilder("<h2>" + escaped(title) + "</h2><svg width=\"" + WIDTH + "\" height=\""
                + (HEIGHT + 20) + "\" role=\"img\" aria-label=\"" + escaped(title) + "\">");
        for (double share : List.of(0.0, 0.5, 1.0)) {
            double y = HEIGHT - BOTTOM - share * most * scale;
            out.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
                            + "stroke=\"#eee\"/><text x=\"%d\" y=\"%.1f\" "
                            + "font-size=\"11\" text-anchor=\"end\">%s</text>",
                    LEFT,
                    WIDTH - 10,
                    y,
                    y,
                    LEFT - 6,
                    y + 4,
                    String.format(Locale.ROOT, most < 10 ? "%.1f" : "%.0f", share * most)));
        }
        events.forEach((second, what) -> out.append(String.format(
                Locale.ROOT,
                "<line x1=\"%.1f\" x2=\"%.1f\" "
                        + "y1=\"8\" y2=\"%d\" stroke=\"#36c\" stroke-dasharray=\"3 3\"><title>%s</title></line>",
                LEFT + second * step,
                LEFT + second * step,
                HEIGHT - BOTTOM,
                escaped(what))));
        List<String> legend = new ArrayList<>();
        int at = LEFT;
        for (Line line : lines) {
            StringBuilder points = new StringBuilder();
            for (int i = 0; i < seconds.size(); i++) {
                points.append(String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        LEFT + i * step,
                        HEIGHT - BOTTOM - line.value().applyAsDouble(seconds.get(i)) * scale));
            }
            out.append("<polyline fill=\"none\" stroke=\"")
                    .append(line.colour())
                    .append("\" stroke-width=\"1.5\" points=\"")
                    .append(points)
                    .append("\"/>");
            legend.add("<text x=\"" + at + "\" y=\"" + (HEIGHT + 12) + "\" font-size=\"12\" fill=\"" + line.colour()
                    + "\">" + escaped(line.name()) + "</text>");
            at += 20 + 8 * line.name().length();
        }
        out.append("<text x=\"")
                .append(WIDTH - 10)
                .append("\" y=\"")
                .append(HEIGHT - 6)
                .append("\" font-size=\"11\" text-anchor=\"end\">")
                .append(Math.max(0, seconds.size() - 1))
                .append(" s</text>");
        legend.forEach(out::append);
        return out.append("</svg>").toString();
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
