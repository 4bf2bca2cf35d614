package martenlatch.admin;

import java.io.IOException;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashSet;
import java.util.Set;

/**
 * The folder that the processes of one sidecar share: the old and the new process during an upgrade. Each entry is a
 * separate file that is created or deleted atomically, so that a process killed at any point leaves no partial state:
 *
 * <ul>
 * <li>{@code out-ID}: the endpoint with this id (URL-encoded to be a valid file name) is disabled;</li>
 * <li>{@code serving-N}: a process is serving; it holds a lock on the file, which the system releases when the process
 * dies.</li>
 * </ul>
 *
 * <p>One thread may read and write the disabled endpoints while another one calls {@link #markServing} and {@link
 * #unmarkServing}.
 */
final class SharedFolder {

    private static final String DISABLED_PREFIX = "out-";
    private static final String SERVING_PREFIX = "serving-";
    private static final String UNFINISHED_PREFIX = "begun-";

    private final Path folder;
    /**
     * The file that marks this process as serving, and the channel that holds the lock on it; null while not serving.
     */
    private Path ownMarkFile;

    private FileChannel ownMarkChannel;

    /** Opens the folder of a sidecar below {@code parent}, and creates it if it does not exist. */
    SharedFolder(Path parent, String sidecar) throws IOException {
        folder = Files.createDirectories(path(parent, sidecar));
    }

    /** Returns the path of the folder that the processes of a sidecar share. */
    static Path path(Path parent, String sidecar) {
        return parent.resolve("martenlatch-" + urlEncoded(sidecar));
    }

    private static String urlEncoded(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    /** Stores that an endpoint is disabled, or enabled again; repeating that is not an error. */
    void set(String id, boolean disabled) throws IOException {
        Path file = folder.resolve(DISABLED_PREFIX + urlEncoded(id));
        if (disabled) {
            try {
                Files.createFile(file);
            } catch (FileAlreadyExistsException e) {
                // Already disabled, by an earlier call or by the other process.
                return;
            }
        } else {
            Files.deleteIfExists(file);
        }
    }

    /** Returns the ids of the disabled endpoints. */
    Set<String> disabledIds() throws IOException {
        Set<String> ids = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, DISABLED_PREFIX + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(DISABLED_PREFIX.length());
                if (ids.size() < DisabledEndpoints.MAX_DISABLED) {
                    ids.add(URLDecoder.decode(name, StandardCharsets.UTF_8));
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return ids;
    }

    /** Marks this process as serving, visibly to the other processes. */
    void markServing() throws IOException {
        String name = ProcessHandle.current().pid() + "-" + System.nanoTime();
        Path unfinished = folder.resolve(UNFINISHED_PREFIX + name);
        ownMarkChannel = FileChannel.open(unfinished, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        ownMarkChannel.lock();
        // The file is locked before it becomes visible, so that it is never mistaken for that of a dead process.
        ownMarkFile = Files.move(unfinished, folder.resolve(SERVING_PREFIX + name), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Removes the mark that this process serves. */
    void unmarkServing() throws IOException {
        if (ownMarkChannel != null) {
            Files.deleteIfExists(ownMarkFile);
            ownMarkChannel.close();
            ownMarkChannel = null;
        }
    }

    /** Returns whether another process serves; marks of dead processes are deleted. */
    boolean isAnotherProcessServing() throws IOException {
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, SERVING_PREFIX + "*")) {
            for (Path file : files) {
                if (!file.equals(ownMarkFile)) {
                    found |= isLocked(file);
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return found;
    }

    private static boolean isLocked(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        } catch (OverlappingFileLockException e) {
            // Locked by another sidecar within this JVM, as in tests.
            return true;
        } catch (NoSuchFileException e) {
            // The file was deleted after the folder had been listed.
            return false;
        }
    }
}
