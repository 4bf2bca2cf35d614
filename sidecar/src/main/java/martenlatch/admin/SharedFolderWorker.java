package martenlatch.admin;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Reads and writes the shared folder on a dedicated thread, so that a slow disk does not block any other thread. Writes
 * are executed in the order of the calls; between them the folder is polled for changes by another process. Results are
 * handed to the thread that owns the sidecar's state.
 */
final class SharedFolderWorker {

    /** The pause between two polls: well within the 500 ms in which a drain must take effect. */
    static final int POLL_INTERVAL_MS = 100;
    /** The maximum number of changes that wait to be written; further ones fail, as the disk must be stuck. */
    private static final int MAX_PENDING_WRITES = 256;

    /** Receives the content of the folder, on the owner's thread. */
    interface Listener {
        /**
         * Called when the content of the folder, or the number of the last written change, has changed.
         *
         * @param disabledIds the disabled endpoints in the folder
         * @param lastWrittenChange the number of the last change that was written, or failed to be, before the folder
         *     was read
         */
        void onFolderRead(Set<String> disabledIds, long lastWrittenChange);

        /** Called when the folder cannot be read. */
        void onReadFailed(IOException cause);
    }

    private final SharedFolder folder;
    private final Executor owner;
    private final Listener listener;
    private final ScheduledExecutorService worker;
    private final AtomicInteger pendingWrites = new AtomicInteger();
    /** The disabled endpoints and the change number that were last reported; accessed only by the worker's thread. */
    private Set<String> lastReportedIds;

    private long lastReportedChange = -1;
    /** The number of the last change that was written or failed to be; accessed only by the worker's thread. */
    private long lastWrittenChange;

    SharedFolderWorker(SharedFolder folder, Executor owner, Listener listener) {
        this.folder = folder;
        this.owner = owner;
        this.listener = listener;
        worker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "shared-folder");
            thread.setDaemon(true);
            return thread;
        });
        worker.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void poll() {
        try {
            Set<String> disabledIds = folder.disabledIds();
            if (!disabledIds.equals(lastReportedIds) || lastWrittenChange != lastReportedChange) {
                lastReportedIds = disabledIds;
                lastReportedChange = lastWrittenChange;
                long reportedChange = lastWrittenChange;
                owner.execute(() -> listener.onFolderRead(disabledIds, reportedChange));
            }
        } catch (IOException | RuntimeException | Error e) {
            // An exception or error that left this method would end the schedule without a word.
            IOException failure = asIoException(e);
            reportReadFailure(failure);
        }
    }

    private void reportReadFailure(IOException failure) {
        try {
            owner.execute(() -> listener.onReadFailed(failure));
        } catch (RejectedExecutionException e) {
            // The owner has stopped.
            return;
        }
    }

    /** Stores a change; {@code onDone} is called on the owner's thread, with null on success or with the failure. */
    void store(String id, boolean disabled, long changeNumber, Consumer<IOException> onDone) {
        if (pendingWrites.get() >= MAX_PENDING_WRITES) {
            onDone.accept(new IOException(MAX_PENDING_WRITES + " changes wait to be written already"));
            return;
        }
        pendingWrites.incrementAndGet();
        worker.execute(() -> {
            pendingWrites.decrementAndGet();
            IOException failure = write(id, disabled);
            lastWrittenChange = changeNumber;
            owner.execute(() -> onDone.accept(failure));
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

    private static IOException asIoException(Throwable e) {
        return e instanceof IOException io ? io : new IOException(e.toString(), e);
    }

    /** Stops the worker; changes that have not been written yet are dropped. */
    void close() {
        worker.shutdownNow();
    }
}
