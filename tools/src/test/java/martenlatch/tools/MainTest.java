package martenlatch.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import martenlatch.world.ServiceTime;
import martenlatch.world.World;
import martenlatch.world.WorldSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the commands and checks output and exit status. */
@Timeout(120)
class MainTest {

    @TempDir
    Path folder;

    private World world;
    private String output;

    @BeforeEach
    void start() {
        world = new World(WorldSettings.plain(1, ServiceTime.parse("constant 1")), 0);
    }

    @AfterEach
    void close() {
        world.close();
    }

    private int run(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(out, true);
        int status = Main.run(args, print, print);
        output = out.toString();
        return status;
    }

    private String load(String lines) throws IOException {
        return Files.writeString(
                        folder.resolve("load.toml"),
                        "targets = [\"127.0.0.1:"
                                + world.endpoints().get(0).address().getPort() + "\"]\n" + lines.replace("\\n", "\n")
                                + "\n[[class]]\nname = \"read\"\neffect = \"repeatable\"\ndeadline-ms = 5000\n")
                .toString();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "load", "world", "demo"})
    void printsHelpForEachCommand(String command) {
        assertEquals(0, command.isEmpty() ? run("--help") : run(command, "--help"));
        assertTrue(output.contains("Usage: martenlatch-tools " + command), output);
        assertEquals(0, run("--version"));
        assertTrue(output.contains("0.3.0"), output);
    }

    @Test
    void returnsAnErrorStatusForInvalidCommandLines() {
        assertEquals(2, run());
        assertEquals(2, run("sing"));
        assertEquals(2, run("load"));
        assertEquals(1, run("load", folder.resolve("none").toString()));
        assertTrue(output.contains("martenlatch: the settings file is not there"), output);
        assertEquals(1, run("demo", "--seconds", "3"));
        assertTrue(output.contains("seconds must be 10 to 3600 but is 3"), output);
    }

    @Test
    void loadPrintsItsReportAndWritesThePage() throws IOException {
        Path page = folder.resolve("page.html");
        int status = run(
                "load",
                load("shapes = [\"constant 100 1\", \"ramp 100 200 1\"]\narrivals = " + "\"even\""),
                "--report",
                page.toString());
        // On a busy machine the generator may report that it was too slow, which is correct.
        assertTrue(status == 0 || status == Main.TOO_SLOW, output);
        assertTrue(output.matches("(?s).*read +250 +250 +250 +0 .*"), output);
        String html = Files.readString(page);
        assertTrue(html.contains("<polyline") && html.contains("Requests a second") && html.endsWith("</html>\n"));
        assertTrue(!html.contains("http://") && !html.contains("https://"), "the page must not load other resources");
    }

    @Test
    void loadReplaysATraceAndReportsInvalidLines() throws IOException {
        Files.writeString(folder.resolve("t.csv"), "time,class\n1,read\n1.1,read\nx,read\n1.2,read\n");
        int status = run("load", load("trace = \"t.csv\"\ntrace-bad-share = 0.3\ntrace-speed = 2"), "--quiet");
        assertTrue(status == 0 || status == Main.TOO_SLOW, output);
        assertTrue(output.contains("trace: line 4: time must be a number"), output);
        assertTrue(output.contains("trace: 1 of 4 lines of the trace are left out"), output);
        assertTrue(output.matches("(?s).*read +3 +3 +3 +0 .*"), output);
        assertEquals(3, world.ledger().ids());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "shapes = ['constant 0 1']|rates are all 0",
                "shapes = ['zigzag 1']|shape \"zigzag 1\"",
                "|there must be shapes or a trace",
                "shapes = ['constant 1 1']\\ntrace = 't'|but there are both",
                "shapes = ['constant 1 1']\\nworkers = 0|workers",
                "shapes = ['constant 1 1']\\nspeed = 3|speed is no setting",
                "shapes = ['constant 1 1']\\narrivals = 'odd'|arrivals must be poisson or even but is \"odd\"",
                "shapes = ['constant 1 1']\\nconnections = 1.5|connections must be a whole number but is 1.5",
                "shapes = ['constant 1 1']\\n[[class]]\\nname = 'w'\\neffect = 'odd'|class.effect must be",
                "shapes = ['constant 1 1']\\n[[class]]\\nname = 'w'\\neffect = 'unsafe'\\nretries = "
                        + "-1|class.retries must be",
                "shapes = ['constant 1 1']\\n[[class]]\\nname = 'read'\\neffect = 'unsafe'|two are \"read\"",
                "trace = 'none.csv'|none.csv"
            })
    void rejectsInvalidSettingsAndNamesThem(String lines, String part) throws IOException {
        assertEquals(1, run("load", load(lines == null ? "" : lines)));
        assertTrue(output.startsWith("martenlatch: ") && output.contains(part), output);
        assertEquals(1, output.lines().count(), output);
        assertEquals(0, world.ledger().receivedCount());
    }

    private Process start(String shell, String... args) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                "bash",
                "-c",
                shell + "exec \"$@\"",
                "bash",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "martenlatch.tools.Main"));
        command.addAll(List.of(args));
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    @Test
    void printsTheReportAfterCtrlC() throws Exception {
        Process process = start("", "load", load("shapes = [\"constant 100 3000\"]"));
        try (BufferedReader lines = process.inputReader()) {
            assertTrue(lines.readLine().contains("1 s sent"), "the run must have begun");
            new ProcessBuilder("kill", "-INT", Long.toString(process.pid()))
                    .start()
                    .waitFor();
            String rest = String.join("\n", lines.lines().toList());
            assertTrue(
                    rest.contains("stopped after")
                            && rest.contains("of 3000 s")
                            && rest.matches("(?s).*\nread +\\d+ .*")
                            && !rest.contains("DOES NOT ADD UP"),
                    rest);
            assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * 40 file descriptors are too few for 300 connections; requests without one must count as failed, not be skipped.
     */
    @Test
    void countsRequestsWithoutAFileDescriptorAsFailed() throws Exception {
        world.endpoints().get(0).stall(60_000);
        String file = load("connections = 300\nshapes = [\"constant 300 1\"]\narrivals = \"even\"");
        Files.writeString(
                Path.of(file), Files.readString(Path.of(file)).replace("deadline-ms = 5000", "deadline-ms = 3000"));
        Process process = start("ulimit -n 40; ", "load", file, "--quiet");
        try (BufferedReader lines = process.inputReader()) {
            String all = String.join("\n", lines.lines().toList());
            assertTrue(all.matches("(?s).*read +300 +300 +0 +0 +[1-9]\\d* +.*"), all);
            assertTrue(all.contains("no connect=") && !all.contains("DOES NOT ADD UP"), all);
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void worldRunsUntilStoppedAndPrintsItsLedger() throws Exception {
        Process process = start(
                "",
                "world",
                Files.writeString(
                                folder.resolve("w.toml"),
                                "endpoints = 2\n[[event]]\nat = 0\ndo = \"stall\"\nendpoint = 1\nms = 5\n")
                        .toString());
        try (BufferedReader lines = process.inputReader()) {
            assertTrue(lines.readLine().startsWith("s0 a 127.0.0.1:"));
            lines.readLine();
            assertTrue(lines.readLine().startsWith("discovery 127.0.0.1:"));
            assertTrue(lines.readLine().contains("stall s1 5 ms"));
            process.toHandle().destroy();
            assertTrue(String.join("\n", lines.lines().toList()).contains("received 0, ran 0"));
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void demoKeepsTheRulesAndShowsItsEvents() throws Exception {
        Path page = folder.resolve("demo.html");
        int status = run("demo", "--seconds", "10", "--rate", "100", "--report", page.toString());
        assertTrue(status == 0 || status == Main.TOO_SLOW, output);
        assertTrue(output.contains("Held: each request one end") && output.contains("<- die s2"), output);
        assertTrue(Files.readString(page).contains("drain s1"));
    }
}
