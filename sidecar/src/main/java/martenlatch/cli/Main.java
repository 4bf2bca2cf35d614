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
import martenlatch.simulator.SimulatorAdapter;
import martenlatch.simulator.WireException;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The command line: {@code serve} is one real sidecar, {@code benchlink} the simulator's adapter. */
public final class Main {

    /** A start that takes longer is not waited for when the program is stopped. */
    private static final int START_MS = 5000;

    private static final String USAGE = "usage: java -jar martenlatch.jar serve [--peers]|benchlink";
    private static final String PEERS = "--peers";
    private static final Set<String> HELP = Set.of("--help", "-h", "help");

    private Main() {}

    /** Runs the program until it is done; a failure is one plain line and a status above 0. */
    public static void main(String[] args) throws IOException {
        int status;
        boolean withPeers = args.length == 2 && args[1].equals(PEERS);
        if (args.length > 0 && args[0].equals("serve") && (args.length == 1 || withPeers)) {
            status = serve(System.getenv("GW_CONFIG"), System.getenv("TMPDIR"), withPeers, System.err);
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

    /** The adapter on streams of the caller's; returns the exit status. */
    public static int run(String[] args, InputStream in, OutputStream out, PrintStream errors) throws IOException {
        if (args.length == 1 && HELP.contains(args[0])) {
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
        } catch (WireException e) {
            errors.println("martenlatch: " + e.getMessage());
            return 1;
        }
    }

    /** Starts a sidecar, to run until SIGTERM; returns the exit status of a start that failed. */
    static int serve(String configFile, String shared, boolean withPeers, PrintStream errors) {
        // Before all else: until there is a handler, SIGHUP ends the program.
        CompletableFuture<Sidecar> running = new CompletableFuture<>();
        SignalHandler before = Signal.handle(new Signal("HUP"), signal -> running.thenAccept(Sidecar::reload));
        if (before == SignalHandler.SIG_IGN) {
            // The JVM leaves a signal alone that was ignored when it started.
            errors.println("martenlatch: whoever started this process has it ignore SIGHUP (nohup does): "
                    + "a changed configuration holds from the next start on");
        }
        // Clients may come before start returns: a stop by SIGTERM waits for it, and drains.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(running), "drain"));
        try {
            if (configFile == null || configFile.isBlank()) {
                throw new IllegalArgumentException("GW_CONFIG must name the configuration file but is " + configFile);
            }
            Sidecar sidecar =
                    Sidecar.start(Path.of(configFile), shared == null ? null : Path.of(shared), withPeers, errors);
            running.complete(sidecar);
            return 0;
        } catch (IOException | RuntimeException e) {
            running.completeExceptionally(e);
            errors.println("martenlatch: "
                    + (e.getMessage() == null
                            ? e.toString()
                            : e.getMessage().lines().findFirst().orElse("")));
            return 1;
        }
    }

    private static void drain(CompletableFuture<Sidecar> running) {
        try {
            running.get(START_MS, TimeUnit.MILLISECONDS).drain();
            // Halting, once empty, makes a stop by SIGTERM a clean exit.
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            // It has not come so far as to serve: there is nothing to drain, and the status is that of the
            // stop.
            return;
        }
    }
}
