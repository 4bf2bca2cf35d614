package martenlatch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests start-up, signals and exit of the program as a separate process. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MainTest {

    private static final String CONFIG = """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "known":{"version":0,"full":true,"servers":[]},
        "settings":{"azs":["a"],"models":[],"membership-mode":"on_request",
        "classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000}],
        "limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},"rules":{}}}""";

    /** The descriptor limit of a process that is meant to run out of them; its start-up needs about 50. */
    private static final int DESCRIPTOR_LIMIT = 120;

    @TempDir
    Path folder;

    private Process serve(String config) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "martenlatch.cli.Main",
                "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        return builder.redirectErrorStream(true).start();
    }

    /** Guards against a planned restart that is reported as a crash: after SIGTERM the process exits with status 0. */
    @Test
    void sigtermCausesCleanExit() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "serving on");
            // Sends SIGTERM; unlike Process.destroy() it keeps the log readable.
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a failed upgrade: the new process listens on the same address, and then the old one stops. Beside
     * an agent that does not respond neither process may forward requests, and the upgrade is carried out all the same.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newProcessTakesOverFromOldOne(boolean agentResponds) throws Exception {
        try (ServerSocket agent = new ServerSocket(0)) {
            String listen = "\"listen\":\"127.0.0.1:0\"";
            String config = CONFIG.replace(listen, listen + ",\"admin\":\"127.0.0.1:0\"")
                    .replace("on_request", "pushed");
            if (agentResponds) {
                startAgent(agent);
                config = config.replace("127.0.0.1:1\"", "127.0.0.1:" + agent.getLocalPort() + "\"");
            }
            upgrade(config, agentResponds);
        }
    }

    /** Answers each poll with a list without endpoints and closes the connection. */
    private static void startAgent(ServerSocket agent) {
        String list = "{\"version\":1,\"full\":true,\"servers\":[]}";
        String response =
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
        Thread thread = new Thread(() -> {
            while (!agent.isClosed()) {
                try (Socket poll = agent.accept()) {
                    poll.getInputStream().read(new byte[4096]);
                    poll.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    // The test has ended, or the process that polled has.
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private void upgrade(String config, boolean agentResponds) throws Exception {
        Process old = serve(config);
        try (BufferedReader log = old.inputReader()) {
            // With pushed lists, a process listens at once if it is the only one and its agent responds, and otherwise
            // only after its warm-up.
            if (!agentResponds) {
                awaitLine(log, "warm-up finished after");
            }
            String listeningLine = awaitLine(log, "listening on");
            if (agentResponds) {
                awaitLine(log, "warm-up finished after");
            }
            awaitLine(log, "serving on");
            // Reuses the port that the system assigned, as a free port chosen by the test could be taken before the
            // start.
            Process successor =
                    serve(config.replace("\"listen\":\"127.0.0.1:0", "\"listen\":\"127.0.0.1:" + port(listeningLine)));
            try (BufferedReader successorLog = successor.inputReader()) {
                awaitLine(successorLog, "warm-up finished after");
                awaitLine(successorLog, "listening on");
                awaitLine(successorLog, "serving on");
                old.toHandle().destroy();
                awaitLine(log, "another process serves this address");
                assertEquals(0, old.waitFor());
                successor.toHandle().destroy();
                // The old process has stopped and must not count as a successor.
                List<String> lines = successorLog.lines().toList();
                assertTrue(lines.stream().noneMatch(line -> line.contains("another process")), lines.toString());
                assertEquals(0, successor.waitFor());
            } finally {
                successor.destroyForcibly();
            }
        } finally {
            old.destroyForcibly();
        }
    }

    /** Guards against a SIGHUP that terminates the process: each one reloads the configuration. */
    @Test
    void sighupReloadsConfiguration() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "serving on");
            for (String port : List.of("2", "3")) {
                Files.writeString(
                        folder.resolve("config.json"), CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\""));
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-HUP", "" + process.pid())
                                .start()
                                .waitFor());
                awaitLine(log, "discovery at /127.0.0.1:" + port);
            }
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, "" + process.pid())
                        .start()
                        .waitFor());
    }

    /** Guards against a SIGHUP that is lost during start-up: it is handled during it, or once it has finished. */
    @Test
    void sighupDuringStartIsHandled() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "listening on");
            signal(process, "HUP");
            List<String> expected = new ArrayList<>(List.of("serving on", "configuration reloaded"));
            while (!expected.isEmpty()) {
                String line = log.readLine();
                assertNotEquals(null, line, "the log ended without " + expected);
                expected.removeIf(line::contains);
            }
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
            assertTrue(log.lines().noneMatch(line -> line.contains("configuration reloaded")), "handled once");
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a SIGTERM that is lost, or handled twice, if it arrives during the warm-up. */
    @Test
    void sigtermDuringWarmUpCausesCleanExit() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "listening on");
            signal(process, "TERM");
            signal(process, "HUP");
            signal(process, "TERM");
            List<String> lines = log.lines().toList();
            assertEquals(0, process.waitFor());
            assertEquals(
                    1, lines.stream().filter(line -> line.contains("draining")).count(), "" + lines);
            assertTrue(lines.get(lines.size() - 1).contains("drained"), "" + lines);
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against signals that are lost, or reported as a crash, before the process has an endpoint list and a
     * listener: with pushed lists, the start-up waits for the first response of the agent. A process that listened only
     * after SIGTERM would read requests that SIGKILL, which does not wait for the start-up, leaves unanswered.
     */
    @Test
    void sigtermBeforeFirstListCausesCleanExit() throws Exception {
        try (ServerSocket agent = new ServerSocket(0)) {
            Process process = serve(CONFIG.replace("on_request", "pushed")
                    .replace("127.0.0.1:1\"", "127.0.0.1:" + agent.getLocalPort() + "\""));
            // The agent never responds. Once it is called, the process has created its components but is not listening
            // yet.
            try (BufferedReader log = process.inputReader();
                    Socket call = agent.accept()) {
                signal(process, "HUP");
                awaitLine(log, "configuration reloaded");
                signal(process, "TERM");
                signal(process, "TERM");
                List<String> lines = log.lines().toList();
                assertEquals(0, process.waitFor());
                assertEquals(
                        1,
                        lines.stream()
                                .filter(line -> line.contains("stopped before it listened"))
                                .count(),
                        "" + lines);
                assertEquals(-1, indexOfLine(lines, "listening on"), "" + lines);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static int indexOfLine(List<String> lines, String part) {
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).contains(part)) {
                return i;
            }
        }
        return -1;
    }

    private static String awaitLine(BufferedReader log, String part) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            line = log.readLine();
        }
        assertNotEquals(null, line, "the log ended without the line: " + part);
        return line;
    }

    /** Guards against reloads that are silently ignored: under nohup the JVM does not handle SIGHUP. */
    @Test
    void ignoredSighupIsLogged() throws Exception {
        Path file = Files.writeString(folder.resolve("config.json"), CONFIG);
        ProcessBuilder builder = new ProcessBuilder(
                "nohup",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "martenlatch.cli.Main",
                "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        Process process = builder.redirectErrorStream(true).start();
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "ignore SIGHUP");
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a request for help that is reported as a failure. */
    @Test
    void helpExitsWithZero() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        PrintStream printed = new PrintStream(errors, true, StandardCharsets.UTF_8);
        assertEquals(0, Main.run(new String[] {"--help"}, InputStream.nullInputStream(), out, printed));
        String help = out.toString(StandardCharsets.UTF_8);
        assertTrue(help.startsWith("usage:"), help);
        assertEquals(2, Main.run(new String[] {"--halp"}, InputStream.nullInputStream(), out, printed));
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        Process process = serve(CONFIG.replace("\"sockets\":1024", "\"sockets\":\"many\""));
        try (BufferedReader log = process.inputReader()) {
            List<String> lines = log.lines().toList();
            assertEquals(List.of("martenlatch: field limits.sockets is not usable: many"), lines);
            assertTrue(process.waitFor() > 0);
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a process that fails when it runs out of descriptors: the event loop continues, and an unsafe
     * request without a connection to an endpoint never ran, so it is rejected and does not count as failed.
     */
    @Test
    void requestWithoutDescriptorIsRejected() throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0)) {
            String list = "{\"version\":1,\"full\":true,\"servers\":[{\"id\":\"s0\",\"addr\":" + "\"127.0.0.1:"
                    + endpoint.getLocalPort() + "\",\"zone\":\"a\",\"state\":\"in_service\"}]}";
            Path file = Files.writeString(
                    folder.resolve("config.json"),
                    CONFIG.replace("{\"version\":0,\"full\":true,\"servers\":[]}", list)
                            .replace("repeatable", "once"));
            Process process = serveWithFewDescriptors(file);
            List<Socket> connections = new ArrayList<>();
            try (BufferedReader log = process.inputReader()) {
                int port = port(awaitLine(log, "listening on"));
                awaitLine(log, "serving on");
                Socket client = new Socket("127.0.0.1", port);
                connections.add(client);
                assertTrue(sendRequest(client, "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                        .contains(" 200 "));
                // More connections than the process may hold: the others wait in the accept queue.
                for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
                    connections.add(new Socket("127.0.0.1", port));
                }
                awaitLine(log, "no connection is taken in");
                String answer = sendRequest(
                        client,
                        "POST /api HTTP/1.1\r\nHost: x\r\nX-Request-Id: r0\r\n"
                                + "X-Class: read\r\nX-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n");
                assertTrue(answer.contains(" 503 "), answer);
                awaitLine(log, "no connection: ");
                process.toHandle().destroy();
                assertEquals(0, process.waitFor());
            } finally {
                cleanUp(process, connections);
            }
        }
    }

    /** Guards against discovery polls that stop when descriptors run out; here each poll needs a new connection. */
    @Test
    void pollWithoutDescriptorIsRetried() throws Exception {
        Process process = serveWithFewDescriptors(Files.writeString(
                folder.resolve("config.json"), CONFIG.replace("\"rules\":{}", "\"rules\":{\"ask-within-ms\":50}")));
        List<Socket> connections = new ArrayList<>();
        try (BufferedReader log = process.inputReader()) {
            int port = port(awaitLine(log, "listening on"));
            awaitLine(log, "serving on");
            awaitLine(log, "discovery failed: ");
            for (int i = 0; i < DESCRIPTOR_LIMIT; i++) {
                connections.add(new Socket("127.0.0.1", port));
            }
            for (String failed = "refused"; failed.contains("refused"); ) {
                failed = awaitLine(log, "discovery failed: ");
            }
            for (Socket connection : connections) {
                connection.close();
            }
            for (String failed = ""; !failed.contains("refused"); ) {
                failed = awaitLine(log, "discovery failed: ");
            }
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            cleanUp(process, connections);
        }
    }

    private static void cleanUp(Process process, List<Socket> connections) throws IOException {
        process.destroyForcibly();
        for (Socket connection : connections) {
            connection.close();
        }
    }

    private Process serveWithFewDescriptors(Path file) throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + DESCRIPTOR_LIMIT + " && exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                jar() + ":" + System.getProperty("java.class.path"),
                "martenlatch.cli.Main",
                "serve");
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.redirectErrorStream(true).start();
    }

    private static int port(String line) {
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    /**
     * Returns the program as a single JAR, as it is released: the JAR stays open, so loading classes needs no
     * descriptor.
     */
    private Path jar() throws Exception {
        Path classes = Path.of(
                Main.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        if (Files.isRegularFile(classes)) {
            return classes;
        }
        Path jar = folder.resolve("program.jar");
        try (ZipOutputStream out = new ZipOutputStream(Files.newOutputStream(jar));
                Stream<Path> files = Files.walk(classes)) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                out.putNextEntry(new ZipEntry(classes.relativize(file).toString()));
                Files.copy(file, out);
            }
        }
        return jar;
    }

    private static String sendRequest(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = socket.getInputStream().read();
            assertTrue(next >= 0, "the connection ended after " + head);
            head.append((char) next);
        }
        int length = Integer.parseInt(head.toString().replaceAll("(?s).*content-length: (\\d+).*", "$1"));
        socket.getInputStream().readNBytes(length);
        return head.toString();
    }
}
