package martenlatch.extproc;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import martenlatch.config.ConfigurationException;
import martenlatch.config.SocketAddresses;
import martenlatch.frontend.extproc.ExtProcSettings;
import martenlatch.net.EventLoopScheduler;
import martenlatch.world.ProcessingStreamLoad;
import martenlatch.world.StandInProxy;
import sun.misc.Signal;

/** The command line of the external processor, of the stand-in proxy and of the measurement tools. */
public final class Main {

    private static final String USAGE = """
        usage: java -jar martenlatch-extproc.jar extproc SETTINGS.toml
                 one external processor until SIGTERM; GW_CONFIG names the site's configuration
               java -jar martenlatch-extproc.jar proxy LISTEN PROCESSOR
                 a stand-in proxy that consults it, to try it by hand; both are like 127.0.0.1:9901
               java -jar martenlatch-extproc.jar floor SETTINGS.toml
                 a processor that decides nothing, on the same stack, to measure beside the real one
               java -jar martenlatch-extproc.jar load PROCESSOR RATE STREAMS CLASS SECONDS
                 consultations at a rate, or at 0 as many as so many streams at once allow""";

    private Main() {}

    /** Runs a command; a failure is one line on standard error and an exit status above 0. */
    public static void main(String[] args) {
        int status = run(args, System.getenv("GW_CONFIG"), System.err);
        if (status != 0) {
            System.exit(status);
        }
    }

    /** Runs a command and returns the exit status. */
    static int run(String[] args, String configFile, PrintStream errors) {
        try {
            if (args.length == 2 && args[0].equals("extproc")) {
                extproc(configFile, Path.of(args[1]), errors);
            } else if (args.length == 3 && args[0].equals("proxy")) {
                proxy(SocketAddresses.parse("LISTEN", args[1]), SocketAddresses.parse("PROCESSOR", args[2]), errors);
            } else if (args.length == 2 && args[0].equals("floor")) {
                ExtProcServer.listen(ExtProcSettings.read(Path.of(args[1])), new BaselineServer(), newEventLoop());
            } else if (args.length == 6 && args[0].equals("load")) {
                ProcessingStreamLoad.run(
                        SocketAddresses.parse("PROCESSOR", args[1]),
                        parseWholeNumber("RATE", args[2], 0),
                        parseWholeNumber("STREAMS", args[3], 1),
                        args[4],
                        parseWholeNumber("SECONDS", args[5], 1),
                        System.out);
            } else {
                errors.println(USAGE);
                return 2;
            }
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        } catch (IOException | RuntimeException e) {
            errors.println("martenlatch: "
                    + (e.getMessage() == null
                            ? e.toString()
                            : e.getMessage().lines().findFirst().orElse("")));
            return 1;
        }
    }

    /** Returns the event loop of a new one-thread group. */
    private static EventLoop newEventLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    private static int parseWholeNumber(String field, String text, int min) {
        try {
            int value = Integer.parseInt(text);
            if (value >= min && value <= 1_000_000) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw ConfigurationException.unusable(field, text);
        }
        throw ConfigurationException.unusable(field, text);
    }

    private static void extproc(String configFile, Path settings, PrintStream log) throws IOException {
        // The handler is installed first, because SIGHUP terminates a process that has none.
        CompletableFuture<ExtProcServer> running = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), signal -> running.thenAccept(ExtProcServer::reload));
        if (configFile == null || configFile.isBlank()) {
            throw new ConfigurationException(
                    "GW_CONFIG", "GW_CONFIG must name the configuration file but is " + configFile);
        }
        ExtProcServer server = ExtProcServer.start(Path.of(configFile), settings, log);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            server.drain();
                            Runtime.getRuntime().halt(0);
                        },
                        "drain"));
        running.complete(server);
    }

    private static void proxy(InetSocketAddress listen, InetSocketAddress processor, PrintStream log)
            throws IOException {
        EventLoop loop = newEventLoop();
        var bound = new StandInProxy(
                        loop,
                        new EventLoopScheduler(loop),
                        processor,
                        new StandInProxy.Options(100, 250, 3, StandInProxy.ProcessorFailureMode.FAIL, null),
                        StandInProxy.Behavior.CORRECT)
                .listen(listen)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            loop.parent().shutdownGracefully();
            throw new IOException(
                    "cannot listen on " + listen + ": " + bound.cause().getMessage());
        }
        log.println("martenlatch: stand-in proxy listens on " + bound.channel().localAddress());
    }
}
