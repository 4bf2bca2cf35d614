package martenlatch.fleet.launch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that no process or directory outlives the rig, however it ends. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ReaperTest {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private static final long STOPPED_MS = 1500;
    private static final int VOID = 3;

    @TempDir
    Path folder;

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(5);
        }
    }

    private List<Path> remainingFolders() {
        try (Stream<Path> all = Files.list(folder)) {
            return all.filter(path -> path.getFileName().toString().startsWith("martenlatch-fleet-"))
                    .toList();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<Long> processes() {
        List<Long> pids = new ArrayList<>();
        for (Path one : remainingFolders()) {
            try {
                Files.readAllLines(one.resolve("processes")).forEach(l -> pids.add(Long.parseLong(l.split(" ")[0])));
            } catch (IOException e) {
                continue;
            }
        }
        return pids;
    }

    /**
     * Guards against sidecars that keep running after Ctrl-C, or after the rig was killed and could not clean up.
     */
    @ParameterizedTest
    @ValueSource(strings = {"INT", "KILL"})
    void nothingRemainsAfterRigEnds(String signal) throws Exception {
        Process rig = rig();
        try (var out = rig.inputReader()) {
            // The first line about the load is printed once all sidecars serve.
            String line = out.readLine();
            assertTrue(line != null && line.contains("served"), line);
            List<Long> pids = processes();
            assertEquals(6, pids.size());
            assertTrue(pids.stream().allMatch(pid -> ProcessHandle.of(pid).isPresent()));
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-" + signal, "" + rig.pid())
                            .start()
                            .waitFor());
            await("the rig ends", () -> !rig.isAlive());
            await(
                    "its processes end",
                    () -> pids.stream()
                            .noneMatch(pid -> ProcessHandle.of(pid)
                                    .filter(ProcessHandle::isAlive)
                                    .isPresent()));
            await("its folder goes", () -> remainingFolders().isEmpty());
        } finally {
            rig.destroyForcibly();
        }
    }

    /** Guards against a verdict from a rig that had no processor time; here it is stopped for 1.5 s. */
    @Test
    void runOfStarvedRigIsVoid() throws Exception {
        Process rig = rig();
        try (var out = rig.inputReader()) {
            assertTrue(out.readLine().contains("served"));
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-STOP", "" + rig.pid()).start().waitFor());
            Thread.sleep(STOPPED_MS);
            assertEquals(
                    0,
                    new ProcessBuilder("kill", "-CONT", "" + rig.pid()).start().waitFor());
            List<String> lines = out.lines().toList();
            assertEquals(VOID, rig.waitFor(), lines.toString());
            assertTrue(lines.stream().anyMatch(l -> l.contains("beat was ")), lines.toString());
            assertTrue(lines.get(lines.size() - 1).startsWith("VOID"), lines.toString());
        } finally {
            rig.destroyForcibly();
        }
    }

    private Process rig() throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Djava.io.tmpdir=" + folder,
                        "-cp",
                        System.getProperty("java.class.path"),
                        "martenlatch.fleet.cli.Main",
                        "run",
                        "calm",
                        "--root",
                        Path.of("..").toAbsolutePath().normalize().toString())
                .redirectErrorStream(true)
                .start();
    }

    /**
     * If the reaper shell was killed too, the next start cleans up, without touching the processes of a running rig.
     */
    @Test
    void nextStartCleansUp() throws Exception {
        Process old = new ProcessBuilder("sleep", "100").start();
        Process other = new ProcessBuilder("sleep", "100").start();
        try (Reaper living = Reaper.begin(folder)) {
            living.register(other.pid());
            Path gone = Files.createDirectory(folder.resolve("martenlatch-fleet-gone"));
            Files.writeString(gone.resolve("owner"), "999999999 1");
            // The id in the second line has been reused by another process.
            Files.writeString(gone.resolve("processes"), line(old.pid()) + "\n" + other.pid() + " 1\n");
            assertTrue(Reaper.cleanUp(folder));
            assertTrue(old.waitFor(20, TimeUnit.SECONDS));
            assertTrue(other.isAlive());
            assertEquals(List.of(living.folder()), remainingFolders());
            assertFalse(Reaper.cleanUp(folder));
        } finally {
            old.destroyForcibly();
        }
        assertTrue(other.waitFor(20, TimeUnit.SECONDS), "a reaper kills the processes of its own rig");
        assertEquals(List.of(), remainingFolders());
    }

    private static String line(long pid) throws IOException {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        return pid + " " + stat.substring(stat.lastIndexOf(')') + 2).split(" ")[19];
    }

    @Test
    void missingJarAndInvalidCommandAreReported() throws Exception {
        Files.createDirectory(folder.resolve("deploy"));
        Path file = folder.resolve("deploy/balancer.toml");
        Files.writeString(file, "run = \"exec java -Xmx64m -jar no.jar serve\"\n");
        DeployFile read = DeployFile.read(folder);
        assertEquals(List.of("java", "-Xmx64m", "-jar", "no.jar", "serve"), read.command());
        assertEquals(
                "the jar is not built: " + folder.resolve("no.jar"),
                assertThrows(IllegalArgumentException.class, () -> read.withJar(read.jar()))
                        .getMessage());
        Files.writeString(file, "run = \"java -jar x.jar | tee log\"\n");
        assertTrue(assertThrows(IllegalArgumentException.class, () -> DeployFile.read(folder))
                .getMessage()
                .startsWith("run must be exec and a plain command but is"));
    }
}
