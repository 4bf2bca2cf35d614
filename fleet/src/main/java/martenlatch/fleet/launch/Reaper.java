package martenlatch.fleet.launch;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Owns the rig's directory and ensures that neither its processes nor the directory outlive the rig. Each started
 * process is recorded in a file with its id and start time, because an id alone may have been reused. A shell waits
 * for the rig to end for whatever reason, then kills the recorded processes. If the shell is killed too, the next
 * start of a rig cleans up.
 */
public final class Reaper implements Closeable {

    private static final String PREFIX = "martenlatch-fleet-";
    private static final String PROCESSES_FILE = "processes";
    private static final int START_TIME_FIELD = 19;
    private static final String SCRIPT = """
        trap '' INT TERM HUP
        cat >/dev/null
        while read pid start; do
            if [ "$(sed 's/.*) //' "/proc/$pid/stat" 2>/dev/null | cut -d' ' -f20)" = "$start" ]; then
                kill -9 "$pid"
            fi
        done < "$1/processes"
        rm -rf "$1"
        """;

    private final Path folder;
    private final Process shell;

    private Reaper(Path folder, Process shell) {
        this.folder = folder;
        this.shell = shell;
    }

    /** Cleans up after rigs that have ended and creates a directory for this one under {@code parent}. */
    public static Reaper begin(Path parent) throws IOException {
        cleanUp(parent);
        Path folder = Files.createTempDirectory(parent, PREFIX);
        Files.writeString(
                folder.resolve("owner"),
                processEntry(ProcessHandle.current().pid()).orElse(""));
        Files.createFile(folder.resolve(PROCESSES_FILE));
        // Runs in its own process group, so that Ctrl-C in a terminal does not reach it.
        Process shell = new ProcessBuilder("setsid", "sh", "-c", SCRIPT, "reaper", folder.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        return new Reaper(folder, shell);
    }

    /** Returns the directory for the rig's files. */
    public Path folder() {
        return folder;
    }

    /** Records a process that must not outlive the rig. */
    void register(long pid) {
        processEntry(pid).ifPresent(entry -> {
            try {
                Files.writeString(folder.resolve(PROCESSES_FILE), entry + "\n", StandardOpenOption.APPEND);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** Returns the id and start time of a process, or empty if it does not exist. */
    private static Optional<String> processEntry(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"), StandardCharsets.ISO_8859_1);
            // The process name, in brackets, may contain anything; the fields after it are numbers (proc(5)).
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Optional.of(pid + " " + fields[START_TIME_FIELD]);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Kills the processes and deletes the directories of rigs that have ended; returns whether there were any. */
    static boolean cleanUp(Path parent) throws IOException {
        List<Path> folders;
        try (Stream<Path> all = Files.list(parent)) {
            folders = all.filter(path -> path.getFileName().toString().startsWith(PREFIX))
                    .toList();
        }
        boolean foundAny = false;
        for (Path one : folders) {
            Path owner = one.resolve("owner");
            if (!Files.isRegularFile(owner) || isAlive(Files.readString(owner))) {
                continue;
            }
            foundAny = true;
            for (String entry : Files.readAllLines(one.resolve(PROCESSES_FILE))) {
                if (isAlive(entry)) {
                    ProcessHandle.of(Long.parseLong(entry.split(" ")[0])).ifPresent(ProcessHandle::destroyForcibly);
                }
            }
            delete(one);
        }
        return foundAny;
    }

    private static boolean isAlive(String entry) {
        return !entry.isBlank()
                && processEntry(Long.parseLong(entry.split(" ")[0]))
                        .filter(entry.trim()::equals)
                        .isPresent();
    }

    private static void delete(Path folder) throws IOException {
        Files.walkFileTree(folder, new SimpleFileVisitor<>() {
            @Override
            public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
                Files.deleteIfExists(file);
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult visitFileFailed(Path file, IOException e) {
                // The reaper shell of that rig may be deleting files at the same time.
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path dir, IOException e) throws IOException {
                Files.deleteIfExists(dir);
                return FileVisitResult.CONTINUE;
            }
        });
    }

    /** Kills all remaining processes and waits until the reaper shell has finished. */
    @Override
    public void close() throws IOException {
        shell.getOutputStream().close();
        try {
            if (!shell.waitFor(10, TimeUnit.SECONDS)) {
                shell.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
