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
 * The folder that the processes of one sidecar share, the old and the new one during an upgrade. Each thing
 * in it is a file of its own, made or removed in one step, so that a process killed at any point leaves
 * nothing half done:
 *
 * <ul>
 * <li>{@code out-ID}: the endpoint ID (URL-encoded, as a file's name) is out by hand;</li>
 * <li>{@code serving-N}: a process serves; it holds a lock on the file, which the system releases when it
 * dies.</li>
 * </ul>
 *
 * <p>What is out may be read and written by one thread while another calls {@link #serve} and {@link #leave}.
 */
final class SharedFolder {

    private static final String OUT = "out-";
    private static final String SERVING = "serving-";
    private static final String BEGUN = "begun-";

    private final Path folder;
    private Path ownFile;
    private FileChannel own;

    /** The folder of one sidecar below {@code parent}; it is made if it is not there. */
    SharedFolder(Path parent, String sidecar) throws IOException {
        folder = Files.createDirectories(parent.resolve("martenlatch-" + encoded(sidecar)));
    }

    private static String encoded(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8);
    }

    /** Keeps that an endpoint is out, or is not any more; to do so again is no error. */
    void set(String id, boolean out) throws IOException {
        Path file = folder.resolve(OUT + encoded(id));
        if (out) {
            try {
                Files.createFile(file);
            } catch (FileAlreadyExistsException e) {
                // It is out already: by an earlier call, or by the other process.
                return;
            }
        } else {
            Files.deleteIfExists(file);
        }
    }

    /** The endpoints that are out. */
    Set<String> out() throws IOException {
        Set<String> ids = new HashSet<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, OUT + "*")) {
            for (Path file : files) {
                String name = file.getFileName().toString().substring(OUT.length());
                if (ids.size() < DisabledEndpoints.MOST_OUT) {
                    ids.add(URLDecoder.decode(name, StandardCharsets.UTF_8));
                }
            }
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return ids;
    }

    /** From here on others can see that this process serves. */
    void serve() throws IOException {
        String name = ProcessHandle.current().pid() + "-" + System.nanoTime();
        Path begun = folder.resolve(BEGUN + name);
        own = FileChannel.open(begun, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        own.lock();
        // Locked before it can be seen: nobody takes it for a dead process's in between.
        ownFile = Files.move(begun, folder.resolve(SERVING + name), StandardCopyOption.ATOMIC_MOVE);
    }

    /** This process serves no more. */
    void leave() throws IOException {
        if (own != null) {
            Files.deleteIfExists(ownFile);
            own.close();
            own = null;
        }
    }

    /** Whether another process serves; files of processes that are dead are removed. */
    boolean othersServe() throws IOException {
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, SERVING + "*")) {
            for (Path file : files) {
                if (!file.equals(ownFile)) {
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
            // Another sidecar in this very process, as in tests.
            return true;
        } catch (NoSuchFileException e) {
            // It has left between the look into the folder and this.
            return false;
        }
    }
}
