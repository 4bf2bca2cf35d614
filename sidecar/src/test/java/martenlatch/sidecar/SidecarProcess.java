package martenlatch.sidecar;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A sidecar as a separate process, with the JVM options of the deploy file. */
final class SidecarProcess implements Closeable {

    private static final String LISTENING_LINE = "martenlatch: listening on /";
    private static final String SERVING_LINE = "martenlatch: serving on /";
    /** Options of the deploy file that refer to the packaged jar, which does not exist yet when tests run. */
    private static final List<String> PACKAGING_OPTIONS = List.of("-XX:SharedArchiveFile=", "-jar");

    private static final long KIB = 1024;

    private final Path folder;
    private final Path config;
    private final Process process;
    private final Thread logReader;
    private final StringBuffer log = new StringBuffer();
    private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
    private final CompletableFuture<Void> serving = new CompletableFuture<>();

    private SidecarProcess(Path folder, List<String> command, Path config) throws IOException {
        this.folder = folder;
        this.config = config;
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().keySet().removeAll(List.of("JAVA_TOOL_OPTIONS", "JDK_JAVA_OPTIONS", "GW_ADMIN"));
        process = builder.start();
        logReader = new Thread(this::readLog, "sidecar-log");
        logReader.setDaemon(true);
        logReader.start();
    }

    /**
     * Starts a process with the configuration of a fixture and waits until it serves.
     *
     * @param jvmOptions options that follow those of the deploy file and take precedence
     */
    static SidecarProcess start(SidecarFixture fixture, String... jvmOptions) throws Exception {
        Path folder = Files.createTempDirectory("sidecar");
        return start(folder, fixture, jvmOptions);
    }

    /** Starts a process as above, whose temporary folder may be shared with another process of the same sidecar. */
    static SidecarProcess start(Path folder, SidecarFixture fixture, String... jvmOptions) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(deployedJvmOptions());
        command.addAll(List.of(jvmOptions));
        command.addAll(List.of("-cp", classPath(), "martenlatch.cli.Main", "serve"));
        Path config = Files.writeString(Files.createTempFile(folder, "config", ".json"), fixture.config());
        SidecarProcess started = new SidecarProcess(folder, command, config);
        try {
            started.serving.get(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            started.close();
            throw new IllegalStateException("the process does not serve: " + started.log(), e);
        }
        return started;
    }

    /** Returns the class path. To compare versions, classes in the folder {@code sidecar.classes} go first. */
    private static String classPath() {
        String otherVersion = System.getProperty("sidecar.classes");
        String classPath = System.getProperty("java.class.path");
        return otherVersion == null ? classPath : otherVersion + File.pathSeparator + classPath;
    }

    private static List<String> deployedJvmOptions() throws IOException {
        Path deployFile = Path.of("..", "deploy", "balancer.toml");
        Matcher run = Pattern.compile("(?m)^run = \"exec java (.*) serve\"$").matcher(Files.readString(deployFile));
        if (!run.find()) {
            throw new IOException("the deploy file has no command that runs java");
        }
        return Arrays.stream(run.group(1).split(" "))
                .filter(option -> option.startsWith("-"))
                .filter(option -> PACKAGING_OPTIONS.stream().noneMatch(option::startsWith))
                .toList();
    }

    private void readLog() {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.append(line).append('\n');
                if (line.startsWith(LISTENING_LINE)) {
                    String[] address = line.substring(LISTENING_LINE.length()).split(":", 2);
                    listening.complete(new InetSocketAddress(address[0], Integer.parseInt(address[1])));
                } else if (line.startsWith(SERVING_LINE)) {
                    serving.complete(null);
                }
            }
        } catch (IOException e) {
            // The process has ended.
            return;
        }
    }

    InetSocketAddress address() {
        return listening.join();
    }

    String log() {
        return log.toString();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        // Unlike Process.destroy() it keeps the log readable.
        process.toHandle().destroy();
    }

    /** Replaces the configuration file by that of a fixture; {@link #reload} makes the process read it. */
    void replaceConfig(SidecarFixture fixture) throws IOException {
        Files.writeString(config, fixture.config());
    }

    /** Sends SIGHUP. */
    void reload() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Stops the process for a time. */
    void holdUp(int durationMs) throws IOException, InterruptedException {
        signal("STOP");
        Thread.sleep(durationMs);
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    /** Sends SIGKILL. */
    void kill() {
        process.toHandle().destroyForcibly();
    }

    /** Waits for the end of the process; returns false if it has not ended in time. */
    boolean awaitExit(int timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
    }

    /** Waits for the end of the process and returns its exit status. */
    int awaitExit() throws InterruptedException {
        if (!process.waitFor(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
            throw new AssertionError("the process has not ended: " + log());
        }
        logReader.join(SidecarFixture.AWAIT_TIMEOUT_MS);
        return process.exitValue();
    }

    /** Returns the largest resident memory of the process so far, in bytes. */
    long peakMemoryBytes() throws IOException {
        Path status = Path.of("/proc", String.valueOf(process.pid()), "status");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith("VmHWM:")) {
                return Long.parseLong(line.replaceAll("\\D", "")) * KIB;
            }
        }
        throw new IOException("no peak memory in " + status);
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(SidecarFixture.AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!Files.exists(folder)) {
            // Another process of the same sidecar was closed before.
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((first, second) -> second.compareTo(first)).forEach(SidecarProcess::delete);
        }
    }

    private static void delete(Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
