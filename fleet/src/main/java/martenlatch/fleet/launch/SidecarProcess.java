package martenlatch.fleet.launch;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * One sidecar under one name: its process, and the next one when that has ended. It listens at the address
 * at which its first process came to listen. Calls come from one thread; {@link Watch} hears from others.
 */
public final class SidecarProcess {

    /** Hears of a process, on a thread of its own for each. */
    public interface Watch {
        /** A line of its log. */
        void line(String name, String line);

        /** It has ended, with this status. */
        void ended(String name, int status);
    }

    /** How a signal came out. */
    public enum Stop {
        STOPPED,
        NOT_STOPPED
    }

    private static final String LISTENS = "martenlatch: listening on /";
    private static final String SERVES = "martenlatch: serving on ";
    private static final int STATE_POLLS = 100;

    private final String name;
    private final Path folder;
    private final Reaper reaper;
    private final Watch watch;
    /** Its configuration, by the address to listen at. */
    private final Function<InetSocketAddress, String> config;

    private InetSocketAddress listen;
    private Process process;
    private CompletableFuture<InetSocketAddress> listening;
    private CompletableFuture<Void> serving;

    /**
     * A sidecar that has not begun.
     *
     * @param listen with port 0: the system's choice
     */
    public SidecarProcess(
            String name,
            InetSocketAddress listen,
            Function<InetSocketAddress, String> config,
            Reaper reaper,
            Watch watch)
            throws IOException {
        this.name = name;
        this.listen = listen;
        this.config = config;
        this.reaper = reaper;
        this.watch = watch;
        folder = Files.createDirectory(reaper.folder().resolve(name));
    }

    public String name() {
        return name;
    }

    /** Where it listens, or is to. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** The file with all that its processes have logged. */
    public Path log() {
        return folder.resolve("log");
    }

    /** Starts a process; the one before must have ended. */
    public void start(DeployFile deploy) throws IOException {
        if (isAlive()) {
            throw new IllegalStateException(name + " is running");
        }
        writeConfig();
        Path temporary = Files.createDirectories(folder.resolve("tmp"));
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(deploy.command()));
        builder.directory(deploy.root().toFile()).redirectErrorStream(true);
        builder.environment().put("GW_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().keySet().removeAll(List.of("JAVA_TOOL_OPTIONS", "JDK_JAVA_OPTIONS", "GW_ADMIN"));
        CompletableFuture<InetSocketAddress> bound = new CompletableFuture<>();
        CompletableFuture<Void> ready = new CompletableFuture<>();
        listening = bound;
        serving = ready;
        process = builder.start();
        reaper.mind(process.pid());
        Process mine = process;
        Thread reader = new Thread(() -> read(mine, bound, ready), name + "-log");
        reader.setDaemon(true);
        reader.start();
    }

    /** Writes its configuration, in one step, for the next start or {@link #hup}. */
    public void writeConfig() throws IOException {
        Path next = Files.writeString(folder.resolve("config.next"), config.apply(listen));
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private void read(Process of, CompletableFuture<InetSocketAddress> bound, CompletableFuture<Void> ready) {
        try (BufferedReader in =
                        new BufferedReader(new InputStreamReader(of.getInputStream(), StandardCharsets.UTF_8));
                var out = Files.newBufferedWriter(
                        log(), StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(line);
                out.newLine();
                out.flush();
                watch.line(name, line);
                if (line.startsWith(LISTENS)) {
                    bound.complete(address(line.substring(LISTENS.length())));
                } else if (line.startsWith(SERVES)) {
                    ready.complete(null);
                }
            }
            int status = of.waitFor();
            IOException over = new IOException(name + " ended with status " + status);
            bound.completeExceptionally(over);
            ready.completeExceptionally(over);
            watch.ended(name, status);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                InetAddress.getByName(text.substring(0, colon)), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Waits until it listens, and keeps its address; an exception says that it has ended or takes too long.
     */
    public InetSocketAddress awaitListening(long ms) throws IOException {
        listen = await(listening, ms, "listen");
        return listen;
    }

    /** Waits until it is warm and serves. */
    public void awaitServing(long ms) throws IOException {
        await(serving, ms, "serve");
    }

    /** Whether it serves by now. */
    public boolean serves() {
        return serving != null && serving.isDone() && !serving.isCompletedExceptionally() && isAlive();
    }

    private <T> T await(CompletableFuture<T> what, long ms, String verb) throws IOException {
        try {
            return what.get(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(name + " was not waited for", e);
        } catch (ExecutionException e) {
            throw new IOException(
                    e.getCause().getMessage() + " before it came to " + verb + "; see " + log(), e.getCause());
        } catch (TimeoutException e) {
            throw new IOException(name + " did not " + verb + " within " + ms + " ms; see " + log(), e);
        }
    }

    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Its process, of which there must have been one. */
    public long pid() {
        return process.pid();
    }

    /** Stops it (SIGSTOP) and looks whether it has stopped. */
    public Stop pause() {
        Signals.send(pid(), Signals.STOP);
        for (int i = 0; i < STATE_POLLS; i++) {
            if (isStopped()) {
                return Stop.STOPPED;
            }
            Thread.onSpinWait();
        }
        try {
            Thread.sleep(STATE_POLLS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return isStopped() ? Stop.STOPPED : Stop.NOT_STOPPED;
    }

    /** Whether the system says that it is stopped. */
    public boolean isStopped() {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid() + "/stat"), StandardCharsets.ISO_8859_1);
            return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
        } catch (IOException e) {
            return false;
        }
    }

    /** Lets it go on (SIGCONT). */
    public void resume() {
        Signals.send(pid(), Signals.CONT);
    }

    /** Has it read its configuration again (SIGHUP). */
    public void hup() {
        Signals.send(pid(), Signals.HUP);
    }

    /** Asks it to end (SIGTERM). */
    public void term() {
        Signals.send(pid(), Signals.TERM);
    }

    /** Ends it at once (SIGKILL). */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Waits for its end; false if it goes on. */
    public boolean awaitEnd(long ms) throws InterruptedException {
        return process == null || process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** A seed for the next start, as the platform gives one. */
    public static String seed() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }
}
