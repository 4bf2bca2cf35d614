package martenlatch.admin;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import martenlatch.request.ExecutedIdTable;
import martenlatch.request.RateLimitedLogger;

/**
 * The table of executed request ids that the processes of one sidecar share: a file beside the {@link SharedFolder},
 * mapped into the memory of each process, so that neither of them waits for the disk or for the other.
 */
public final class SharedIdTable {

    /** Ends with the version of the table's layout, so that processes of other versions use other files. */
    private static final String FILE_SUFFIX = ".executed-1";

    private SharedIdTable() {}

    /**
     * Opens the table of a sidecar. Without a shared folder that can be used, the process has its own.
     *
     * @param parent the parent of the shared folder, or null
     * @param sidecar the sidecar's name
     */
    public static ExecutedIdTable open(Path parent, String sidecar, RateLimitedLogger logger) {
        if (parent == null) {
            return ExecutedIdTable.unshared();
        }
        try {
            Files.createDirectories(parent);
            return map(parent.resolve(SharedFolder.path(parent, sidecar).getFileName() + FILE_SUFFIX));
        } catch (IOException e) {
            logger.info("executed request ids are not shared with other processes: " + e);
            return ExecutedIdTable.unshared();
        }
    }

    private static ExecutedIdTable map(Path file) throws IOException {
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return new ExecutedIdTable(channel.map(MapMode.READ_WRITE, 0, ExecutedIdTable.BYTES));
        }
    }

    /** Returns the time of a monotonic clock that all processes of a machine share, in milliseconds. */
    public static long clockMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
