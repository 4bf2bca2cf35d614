package martenlatch.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import martenlatch.sidecar.Sidecar;
import martenlatch.sidecar.StartOptions;
import martenlatch.simulator.SimulatorAdapter;
import martenlatch.simulator.SimulatorWireException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The command line entry point: {@code serve} runs a sidecar, {@code benchlink} the simulator adapter. */
public final class Main {

    /** How long the handling of SIGTERM waits for a start-up in progress. */
    private static final int START_TIMEOUT_MS = 5000;

    /** The exit status of a process that ends because it cannot serve any more; EX_SOFTWARE of sysexits.h. */
    private static final int INTERNAL_ERROR_STATUS = 70;

    private static final String USAGE = "usage: java -jar martenlatch.jar serve [--peers]|benchlink";
    private static final String PEERS_OPTION = "--peers";
    private static final Set<String> HELP_OPTIONS = Set.of("--help", "-h", "help");

    private Main() {}

    /** Runs a command; a failure prints one line to standard error and exits with a status above 0. */
    public static void main(String[] args) throws IOException {
        int status;
        boolean gossip = args.length == 2 && args[1].equals(PEERS_OPTION);
        if (args.length > 0 && args[0].equals("serve") && (args.length == 1 || gossip)) {
            status = serve(System.getenv("GW_CONFIG"), System.getenv("TMPDIR"), gossip, System.err);
        } else {
            try (FileInputStream in = new FileInputStream(FileDescriptor.in);
                    FileOutputStream out = new FileOutputStream(FileDescriptor.out)) {
                status = run(args, in, out, System.err);
            }
        }
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs the simulator adapter on the given streams; returns the exit status. */
    public static int run(String[] args, InputStream in, OutputStream out, PrintStream errors) throws IOException {
        if (args.length == 1 && HELP_OPTIONS.contains(args[0])) {
            out.write((USAGE + "\n").getBytes(StandardCharsets.UTF_8));
            return 0;
        }
        if (args.length != 1 || !args[0].equals("benchlink")) {
            errors.println(USAGE);
            return 2;
        }
        try {
            new SimulatorAdapter(in, out, errors).run();
            return 0;
        } catch (SimulatorWireException e) {
            errors.println("martenlatch: " + e.getMessage());
            return 1;
        }
    }

    /** Starts a sidecar that runs until SIGTERM; returns 0, or the exit status for a failed start. */
    static int serve(String configFile, String sharedFolder, boolean gossip, PrintStream errors) {
        // The handler is installed first, as an unhandled SIGHUP terminates the process.
        CompletableFuture<Sidecar> createdSidecar = new CompletableFuture<>();
        CompletableFuture<Sidecar> startedSidecar = new CompletableFuture<>();
        SignalHandler previousHandler =
                Signal.handle(new Signal("HUP"), signal -> createdSidecar.thenAccept(Sidecar::reload));
        if (previousHandler == SignalHandler.SIG_IGN) {
            // The JVM does not handle a signal that was ignored when the process started.
            errors.println("martenlatch: whoever started this process has it ignore SIGHUP (nohup does): "
                    + "a changed configuration holds from the next start on");
        }
        // Clients may connect before serve() returns, so SIGTERM then waits for the start-up to finish and drains.
        StopSignals stopSignals = StopSignals.install();
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> shutDown(createdSidecar, startedSidecar, stopSignals, errors), "drain"));
        try {
            if (configFile == null || configFile.isBlank()) {
                throw new IllegalArgumentException("GW_CONFIG must name the configuration file but is " + configFile);
            }
            Path folder = sharedFolder == null ? null : Path.of(sharedFolder);
            Sidecar sidecar = Sidecar.create(
                    new StartOptions(Path.of(configFile), folder, gossip, StartOptions.DEFAULT_MAX_LIST_WAIT_MS),
                    errors,
                    error -> haltAfterFailure(errors, "the event loop makes no progress for errors: " + error));
            createdSidecar.complete(sidecar);
            sidecar.serve();
            startedSidecar.complete(sidecar);
            return 0;
        } catch (IOException | RuntimeException e) {
            createdSidecar.completeExceptionally(e);
            startedSidecar.completeExceptionally(e);
            errors.println("martenlatch: "
                    + (e.getMessage() == null
                            ? e.toString()
                            : e.getMessage().lines().findFirst().orElse("")));
            return 1;
        }
    }

    /**
     * Called when the JVM shuts down: drains the sidecar if a signal is the reason. Without one, the JVM ends because
     * no thread is left that serves, which must not look like a planned stop.
     */
    private static void shutDown(
            CompletableFuture<Sidecar> createdSidecar,
            CompletableFuture<Sidecar> startedSidecar,
            StopSignals stopSignals,
            PrintStream errors) {
        if (startedSidecar.isCompletedExceptionally()) {
            return;
        }
        if (!stopSignals.received()) {
            haltAfterFailure(errors, "the process ends without a signal, as no thread serves any more");
        }
        drain(createdSidecar, startedSidecar);
    }

    /** Stops a sidecar that does not listen yet at once; one that does is drained when its start has finished. */
    private static void drain(CompletableFuture<Sidecar> createdSidecar, CompletableFuture<Sidecar> startedSidecar) {
        try {
            if (createdSidecar.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS).stopBeforeListening()) {
                Runtime.getRuntime().halt(0);
            }
            startedSidecar.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS).drain();
            // Halting with status 0 after the drain makes a stop by SIGTERM a clean exit.
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            // The sidecar is not serving yet: there is nothing to drain, and the exit status remains that of the
            // signal.
            return;
        }
    }

    /** Ends the process at once, with one line that says why and a status that no signal and no planned stop has. */
    private static void haltAfterFailure(PrintStream errors, String reason) {
        try {
            errors.println("martenlatch: exit with status " + INTERNAL_ERROR_STATUS + ": " + reason);
        } finally {
            Runtime.getRuntime().halt(INTERNAL_ERROR_STATUS);
        }
    }
}
