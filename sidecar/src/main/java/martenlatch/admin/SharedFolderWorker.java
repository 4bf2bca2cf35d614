package martenlatch.admin;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Reads and writes the shared folder on a thread of its own, so that a slow disk delays nobody else: it writes in the
 * order of the calls, and polls in between for what another process has done. What it finds is handed to the thread
 * that owns the state.
 */
final class SharedFolderWorker {

    /** The pause between two polls, in milliseconds: well within the 500 ms in which a drain must take effect. */
    static final int POLL_MS = 100;
    /** Changes that wait to be written; a disk that takes none for so long is reported as broken. */
    private static final int MAX_WAITING = 256;

    /** Hears, on the owner's thread, what the folder shows. */
    interface Listener {
        /** The disabled endpoints, with all changes up to {@code upTo} among them. */
        void onStored(Set<String> disabled, long upTo);

        /** The folder cannot be read. */
        void onReadFailed(IOException cause);
    }

    private final SharedFolder folder;
    private final Executor owner;
    private final Listener listener;
    private final ScheduledExecutorService worker;
    private final AtomicInteger waiting = new AtomicInteger();
    /** What was handed over last, and up to which change; like the next field, used by the worker's thread alone. */
    private Set<String> lastStored;

    private long lastUpTo = -1;
    private long writtenUpTo;

    SharedFolderWorker(SharedFolder folder, Executor owner, Listener listener) {
        this.folder = folder;
        this.owner = owner;
        this.listener = listener;
        worker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "shared-folder");
            thread.setDaemon(true);
            return thread;
        });
        worker.scheduleWithFixedDelay(this::poll, 0, POLL_MS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        try {
            Set<String> stored = folder.disabledIds();
            if (!stored.equals(lastStored) || writtenUpTo != lastUpTo) {
                lastStored = stored;
                lastUpTo = writtenUpTo;
                long upTo = writtenUpTo;
                owner.execute(() -> listener.onStored(stored, upTo));
            }
        } catch (IOException | RuntimeException e) {
            IOException failure = asIoException(e);
            owner.execute(() -> listener.onReadFailed(failure));
        }
    }

    /** Stores a change; {@code done} is called on the owner's thread, with null or with the failure. */
    void store(String id, boolean disabled, long changeNumber, Consumer<IOException> done) {
        if (waiting.get() >= MAX_WAITING) {
            done.accept(new IOException(MAX_WAITING + " changes wait to be written already"));
            return;
        }
        waiting.incrementAndGet();
        worker.execute(() -> {
            waiting.decrementAndGet();
            IOException failure = write(id, disabled);
            writtenUpTo = changeNumber;
            owner.execute(() -> done.accept(failure));
        });
    }

    private IOException write(String id, boolean disabled) {
        try {
            folder.set(id, disabled);
            return null;
        } catch (IOException | RuntimeException e) {
            return asIoException(e);
        }
    }

    private static IOException asIoException(Exception e) {
        return e instanceof IOException io ? io : new IOException(e.toString(), e);
    }

    void close() {
        worker.shutdownNow();
    }
}
