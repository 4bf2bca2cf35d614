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
 * Works on the shared folder with a thread of its own, so that a slow disk holds up nobody else: writes in
 * the order in which they were asked for, and looks between them for what another process has done. What it
 * finds is handed to the thread that owns the state.
 */
final class Keeper {

    /** How often the folder is looked into: well within the 500 ms in which a drain must hold. */
    static final int LOOK_MS = 100;
    /** Changes that wait to be written; a disk that takes none for so long is told as broken. */
    private static final int MOST_WAITING = 256;

    /** Hears, on the owner's thread, what the folder shows. */
    interface Watcher {
        /** The endpoints that are out, all changes up to {@code upTo} among them. */
        void shown(Set<String> out, long upTo);

        /** The folder can't be read. */
        void broken(IOException why);
    }

    private final SharedFolder folder;
    private final Executor owner;
    private final Watcher watcher;
    private final ScheduledExecutorService worker;
    private final AtomicInteger waiting = new AtomicInteger();
    /** Touched by the worker's thread alone. */
    private Set<String> last;

    private long written;
    private long lastTold = -1;

    Keeper(SharedFolder folder, Executor owner, Watcher watcher) {
        this.folder = folder;
        this.owner = owner;
        this.watcher = watcher;
        worker = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "shared-folder");
            thread.setDaemon(true);
            return thread;
        });
        worker.scheduleWithFixedDelay(this::look, 0, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    private void look() {
        try {
            Set<String> out = folder.out();
            if (!out.equals(last) || written != lastTold) {
                last = out;
                lastTold = written;
                long upTo = written;
                owner.execute(() -> watcher.shown(out, upTo));
            }
        } catch (IOException | RuntimeException e) {
            IOException told = e instanceof IOException io ? io : new IOException(e.toString(), e);
            owner.execute(() -> watcher.broken(told));
        }
    }

    /** Keeps a change; {@code done} hears on the owner's thread, with null, or with what went wrong. */
    void keep(String id, boolean out, long number, Consumer<IOException> done) {
        if (waiting.get() >= MOST_WAITING) {
            done.accept(new IOException(MOST_WAITING + " changes wait to be written already"));
            return;
        }
        waiting.incrementAndGet();
        worker.execute(() -> {
            waiting.decrementAndGet();
            IOException wrong = null;
            try {
                folder.set(id, out);
            } catch (IOException | RuntimeException e) {
                wrong = e instanceof IOException io ? io : new IOException(e.toString(), e);
            }
            written = number;
            IOException told = wrong;
            owner.execute(() -> done.accept(told));
        });
    }

    void close() {
        worker.shutdownNow();
    }
}
