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

/** Writes a run as a self-contained HTML page: SVG plots over time with event markers, and the summary. */
public final class HtmlReport {

    private static final int WIDTH_PX = 900;
    private static final int HEIGHT_PX = 200;
    private static final int LEFT_MARGIN_PX = 60;
    private static final int BOTTOM_MARGIN_PX = 24;

    private record Line(String name, String colour, ToDoubleFunction<Second> value) {}

    private HtmlReport() {}

    /**
     * Writes the page.
     *
     * @param events events of the emulated world, by second
     * @param summary the report as text
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
            events.forEach((second, event) -> out.append("<li>")
                    .append(second)
                    .append(" s: ")
                    .append(escaped(event))
                    .append("</li>"));
            out.append("</ul>");
        }
        out.append("<h2>Summary</h2><pre>").append(escaped(summary)).append("</pre></html>\n");
        Files.writeString(file, out);
    }

    private static String plot(String title, List<Second> seconds, Map<Integer, String> events, List<Line> lines) {
        double maxValue = 1;
        for (Line line : lines) {
            for (Second second : seconds) {
                maxValue = Math.max(maxValue, line.value().applyAsDouble(second));
            }
        }
        double pxPerSecond = (WIDTH_PX - LEFT_MARGIN_PX - 10.0) / Math.max(1, seconds.size() - 1);
        double pxPerUnit = (HEIGHT_PX - BOTTOM_MARGIN_PX - 10) / maxValue;
        StringBuilder out = new StringBuilder("<h2>" + escaped(title) + "</h2><svg width=\"" + WIDTH_PX + "\" height=\""
                + (HEIGHT_PX + 20) + "\" role=\"img\" aria-label=\"" + escaped(title) + "\">");
        for (double share : List.of(0.0, 0.5, 1.0)) {
            double y = HEIGHT_PX - BOTTOM_MARGIN_PX - share * maxValue * pxPerUnit;
            out.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
                            + "stroke=\"#eee\"/><text x=\"%d\" y=\"%.1f\" "
                            + "font-size=\"11\" text-anchor=\"end\">%s</text>",
                    LEFT_MARGIN_PX,
                    WIDTH_PX - 10,
                    y,
                    y,
                    LEFT_MARGIN_PX - 6,
                    y + 4,
                    String.format(Locale.ROOT, maxValue < 10 ? "%.1f" : "%.0f", share * maxValue)));
        }
        events.forEach((second, event) -> out.append(String.format(
                Locale.ROOT,
                "<line x1=\"%.1f\" x2=\"%.1f\" "
                        + "y1=\"8\" y2=\"%d\" stroke=\"#36c\" stroke-dasharray=\"3 3\"><title>%s</title></line>",
                LEFT_MARGIN_PX + second * pxPerSecond,
                LEFT_MARGIN_PX + second * pxPerSecond,
                HEIGHT_PX - BOTTOM_MARGIN_PX,
                escaped(event))));
        List<String> legend = new ArrayList<>();
        int legendX = LEFT_MARGIN_PX;
        for (Line line : lines) {
            StringBuilder points = new StringBuilder();
            for (int i = 0; i < seconds.size(); i++) {
                points.append(String.format(
                        Locale.ROOT,
                        "%.1f,%.1f ",
                        LEFT_MARGIN_PX + i * pxPerSecond,
                        HEIGHT_PX - BOTTOM_MARGIN_PX - line.value().applyAsDouble(seconds.get(i)) * pxPerUnit));
            }
            out.append("<polyline fill=\"none\" stroke=\"")
                    .append(line.colour())
                    .append("\" stroke-width=\"1.5\" points=\"")
                    .append(points)
                    .append("\"/>");
            legend.add("<text x=\"" + legendX + "\" y=\"" + (HEIGHT_PX + 12) + "\" font-size=\"12\" fill=\""
                    + line.colour() + "\">" + escaped(line.name()) + "</text>");
            legendX += 20 + 8 * line.name().length();
        }
        out.append("<text x=\"")
                .append(WIDTH_PX - 10)
                .append("\" y=\"")
                .append(HEIGHT_PX - 6)
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
