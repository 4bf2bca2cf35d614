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
 * One named sidecar: its current process, and the next one after that has ended. All its processes listen at the
 * address that the first one was given. Methods are called from one thread; {@link Watch} is called from others.
 */
public final class SidecarProcess {

    /** Receives the events of a process, on a separate thread for each process. */
    public interface Watch {
        /** Called for each line of its log. */
        void line(String name, String line);

        /** Called when it has ended, with its exit status. */
        void ended(String name, int status);
    }

    /** The result of {@link #pause}. */
    public enum Stop {
        STOPPED,
        NOT_STOPPED
    }

    private static final String LISTENING_LINE = "martenlatch: listening on /";
    private static final String SERVING_LINE = "martenlatch: serving on ";
    private static final int STATE_POLLS = 100;

    private final String name;
    private final Path folder;
    private final Reaper reaper;
    private final Watch watch;
    /** Creates the configuration for a listen address. */
    private final Function<InetSocketAddress, String> config;

    private InetSocketAddress listen;
    private Process process;
    private CompletableFuture<InetSocketAddress> listening;
    private CompletableFuture<Void> serving;

    /**
     * Creates a sidecar that has not been started.
     *
     * @param listen the address to listen at; with port 0 the system chooses the port
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

    /** Returns the address at which the sidecar listens, or will listen. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** Returns the file with the logs of all its processes. */
    public Path log() {
        return folder.resolve("log");
    }

    /** Starts a process; the previous one must have ended. */
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
        reaper.register(process.pid());
        Process mine = process;
        Thread reader = new Thread(() -> read(mine, bound, ready), name + "-log");
        reader.setDaemon(true);
        reader.start();
    }

    /** Replaces the configuration file atomically, for the next start or {@link #reload}. */
    public void writeConfig() throws IOException {
        Path next = Files.writeString(folder.resolve("config.next"), config.apply(listen));
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.ATOMIC_MOVE);
    }

    private void read(Process source, CompletableFuture<InetSocketAddress> bound, CompletableFuture<Void> ready) {
        try (BufferedReader in =
                        new BufferedReader(new InputStreamReader(source.getInputStream(), StandardCharsets.UTF_8));
                var out = Files.newBufferedWriter(
                        log(), StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(line);
                out.newLine();
                out.flush();
                watch.line(name, line);
                if (line.startsWith(LISTENING_LINE)) {
                    bound.complete(address(line.substring(LISTENING_LINE.length())));
                } else if (line.startsWith(SERVING_LINE)) {
                    ready.complete(null);
                }
            }
            int status = source.waitFor();
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
     * Waits until the process listens, and keeps its address.
     *
     * @throws IOException if the process ends first or {@code ms} is over
     */
    public InetSocketAddress awaitListening(long ms) throws IOException {
        listen = await(listening, ms, "listen");
        return listen;
    }

    /** Waits until the process has warmed up and serves. */
    public void awaitServing(long ms) throws IOException {
        await(serving, ms, "serve");
    }

    /** Returns whether the process serves. */
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

    /** Returns the id of the latest process; one must have been started. */
    public long pid() {
        return process.pid();
    }

    /** Stops the process (SIGSTOP) and waits shortly until the system reports it as stopped. */
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

    /** Returns whether the system reports the process as stopped. */
    public boolean isStopped() {
        try {
            String stat = Files.readString(Path.of("/proc/" + pid() + "/stat"), StandardCharsets.ISO_8859_1);
            return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
        } catch (IOException e) {
            return false;
        }
    }

    /** Resumes the process (SIGCONT). */
    public void resume() {
        Signals.send(pid(), Signals.CONT);
    }

    /** Makes the process reload its configuration (SIGHUP). */
    public void reload() {
        Signals.send(pid(), Signals.HUP);
    }

    /** Asks the process to end (SIGTERM). */
    public void terminate() {
        Signals.send(pid(), Signals.TERM);
    }

    /** Kills the process (SIGKILL). */
    public void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Waits for the process to end; returns whether it has. */
    public boolean awaitEnd(long ms) throws InterruptedException {
        return process == null || process.waitFor(ms, TimeUnit.MILLISECONDS);
    }

    /** Returns a random seed for the next start, as the platform provides one. */
    public static String seed() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }
}
