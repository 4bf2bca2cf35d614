package martenlatch.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the exit status and output of the command line. */
@Timeout(60)
class MainTest {

    private static final String SITE = """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"version":0,"full":true,"servers":[]},
        "settings":{"azs":["a"],"models":[],"membership-mode":"on_request",
        "classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000}],
        "limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},
        "rules":{"drain-grace-ms":500}}}""";

    @TempDir
    Path folder;

    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    private int run(String... args) throws IOException {
        Path site = Files.writeString(folder.resolve("site.json"), SITE);
        return Main.run(args, site.toString(), new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    private String errorOutput() {
        return errors.toString(StandardCharsets.UTF_8).strip();
    }

    private Path settings(String listen) throws IOException {
        return Files.writeString(
                folder.resolve("own.toml"),
                Files.readString(Path.of("../deploy/extproc.toml")).replace("127.0.0.1:9901", listen));
    }

    @ParameterizedTest
    @CsvSource({"''", "extproc", "proxy 127.0.0.1:1", "serve x"})
    void unknownCommandPrintsUsage(String commandLine) throws IOException {
        assertEquals(2, run(commandLine.split(" ")));
        assertTrue(errorOutput().startsWith("usage: "), errorOutput());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "extproc /nowhere.toml|martenlatch: the settings file is not there: /nowhere.toml",
                "proxy everywhere 127.0.0.1:1|martenlatch: field LISTEN is not usable: everywhere",
                "load 127.0.0.1:1 fast 1 read 1|martenlatch: field RATE is not usable: fast",
                "load 127.0.0.1:1 0 0 read 1|martenlatch: field STREAMS is not usable: 0"
            })
    void invalidArgumentIsReportedInOneLine(String commandLine, String expected) throws IOException {
        assertEquals(1, run(commandLine.split(" ")));
        assertEquals(expected, errorOutput());
    }

    @Test
    void portInUseIsReportedInOneLine() throws IOException {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path settingsFile = settings("127.0.0.1:" + occupied.getLocalPort());
            assertEquals(1, run("extproc", settingsFile.toString()));
            assertTrue(
                    errorOutput()
                            .lines()
                            .toList()
                            .get(errorOutput().lines().toList().size() - 1)
                            .startsWith("martenlatch: cannot listen on /127.0.0.1:" + occupied.getLocalPort()),
                    errorOutput());
        }
    }

    /** Guards against a planned stop that exits with a failure status. */
    @Test
    void sigtermDrainsAndExitsWithStatusZero() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "martenlatch.extproc.Main",
                "extproc",
                settings("127.0.0.1:0").toString());
        builder.environment()
                .put(
                        "GW_CONFIG",
                        Files.writeString(folder.resolve("site.json"), SITE).toString());
        Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "external processor listens on");
            // This is SIGTERM; unlike Process.destroy it leaves the log readable.
            process.toHandle().destroy();
            awaitLine(log, "martenlatch: drained");
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    private static void awaitLine(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        assertNotNull(line, part);
    }
}
