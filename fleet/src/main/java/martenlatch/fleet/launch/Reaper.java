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
 * Keeps a rig's folder, and sees to it that neither its processes nor the folder outlive the rig: each
 * process that is started is written into a file, by its id and its start time (an id alone may be
 * another's by then), and a shell that waits for the rig's end, however that comes, ends those in the file.
 * Should that shell be killed too, the next start of a rig does its work.
 */
public final class Reaper implements Closeable {

    private static final String PREFIX = "martenlatch-fleet-";
    private static final String FILE = "processes";
    private static final int START_FIELD = 19;
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

    /** Cleans up after rigs that are gone, and begins a folder for this one under {@code parent}. */
    public static Reaper begin(Path parent) throws IOException {
        cleanUp(parent);
        Path folder = Files.createTempDirectory(parent, PREFIX);
        Files.writeString(
                folder.resolve("owner"), line(ProcessHandle.current().pid()).orElse(""));
        Files.createFile(folder.resolve(FILE));
        // A group of its own, so that Ctrl-C at a terminal is the rig's alone.
        Process shell = new ProcessBuilder("setsid", "sh", "-c", SCRIPT, "reaper", folder.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        return new Reaper(folder, shell);
    }

    /** Where the rig keeps its files. */
    public Path folder() {
        return folder;
    }

    /** A process that must not outlive the rig. */
    void mind(long pid) {
        line(pid).ifPresent(line -> {
            try {
                Files.writeString(folder.resolve(FILE), line + "\n", StandardOpenOption.APPEND);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    /** A process by id and start time, if it is there. */
    private static Optional<String> line(long pid) {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid + "/stat"), StandardCharsets.ISO_8859_1);
            // Its name, in brackets, may hold anything; what follows is numbers (proc(5)).
            String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
            return Optional.of(pid + " " + fields[START_FIELD]);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Ends what rigs have left that are gone; true if there was any such. */
    static boolean cleanUp(Path parent) throws IOException {
        List<Path> folders;
        try (Stream<Path> all = Files.list(parent)) {
            folders = all.filter(path -> path.getFileName().toString().startsWith(PREFIX))
                    .toList();
        }
        boolean any = false;
        for (Path one : folders) {
            Path owner = one.resolve("owner");
            if (!Files.isRegularFile(owner) || isAlive(Files.readString(owner))) {
                continue;
            }
            any = true;
            for (String line : Files.readAllLines(one.resolve(FILE))) {
                if (isAlive(line)) {
                    ProcessHandle.of(Long.parseLong(line.split(" ")[0])).ifPresent(ProcessHandle::destroyForcibly);
                }
            }
            delete(one);
        }
        return any;
    }

    private static boolean isAlive(String line) {
        return !line.isBlank()
                && line(Long.parseLong(line.split(" ")[0]))
                        .filter(line.trim()::equals)
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
                // Its reaper may be at work at the same time.
                return FileVisitResult.CONTINUE;
            }

            @Override
            public FileVisitResult postVisitDirectory(Path dir, IOException e) throws IOException {
                Files.deleteIfExists(dir);
                return FileVisitResult.CONTINUE;
            }
        });
    }

    /** Ends whatever is left, and waits until it is gone. */
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
