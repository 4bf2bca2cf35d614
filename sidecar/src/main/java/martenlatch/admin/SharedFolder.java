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
 * The folder that the processes of one sidecar share, the old and the new one during an upgrade. Each fact in it is a
 * file of its own, created or deleted in one step, so that a process killed at any point leaves nothing half done:
 *
 * <ul>
 * <li>{@code out-ID}: the endpoint ID (URL-encoded, as a file's name) is disabled;</li>
 * <li>{@code serving-N}: a process serves; it holds a lock on the file, which the system releases when it dies.</li>
 * </ul>
 *
 * <p>One thread may read and write the disabled endpoints while another calls {@link #markServing} and
 * {@link #unmarkServing}.
 */
final class SharedFolder {

    private static final String DISABLED_PREFIX = "out-";
    private static final String SERVING_PREFIX = "serving-";
    private static final String UNFINISHED_PREFIX = "begun-";

    private final Path folder;
    /** This process's mark that it serves, and the lock on it; null while it does not. */
    private Path ownMark;

    private FileChannel ownChannel;

    /** Opens the folder of one sidecar below {@code parent}, and creates it if it does not exist. */
    SharedFolder(Path parent, String sidecar) throws IOException {
        folder = Files.createDirectories(parent.resolve("martenlatch-" + encoded(sidecar)));
    }

    private static String encoded(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    /** Stores that an endpoint is disabled, or is not any more; to repeat that is no error. */
    void set(String id, boolean disabled) throws IOException {
        Path file = folder.resolve(DISABLED_PREFIX + encoded(id));
        if (disabled) {
            try {
                Files.createFile(file);
            } catch (FileAlreadyExistsException e) {
                // It is disabled already: by an earlier call, or by the other process.
                return;
            }
        } else {
            Files.deleteIfExists(file);
        }
    }

    /** The ids of the disabled endpoints. */
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

    /** From here on other processes can see that this one serves. */
    void markServing() throws IOException {
        String name = ProcessHandle.current().pid() + "-" + System.nanoTime();
        Path unfinished = folder.resolve(UNFINISHED_PREFIX + name);
        ownChannel = FileChannel.open(unfinished, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        ownChannel.lock();
        // Locked before it becomes visible: nobody takes it for a dead process's in between.
        ownMark = Files.move(unfinished, folder.resolve(SERVING_PREFIX + name), StandardCopyOption.ATOMIC_MOVE);
    }

    /** This process does not serve any more. */
    void unmarkServing() throws IOException {
        if (ownChannel != null) {
            Files.deleteIfExists(ownMark);
            ownChannel.close();
            ownChannel = null;
        }
    }

    /** Whether another process serves; files of processes that are dead are removed. */
    boolean othersServe() throws IOException {
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, SERVING_PREFIX + "*")) {
            for (Path file : files) {
                if (!file.equals(ownMark)) {
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
            // Held by another sidecar in this same process, as in tests.
            return true;
        } catch (NoSuchFileException e) {
            // Deleted between listing the folder and opening the file.
            return false;
        }
    }
}
