package martenlatch.cli;

import java.util.List;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Records whether the process was told to stop. The JVM runs its shutdown hooks for a signal and also when its last
 * thread has ended, and the hooks cannot tell the two apart.
 */
final class StopSignals {

    private static final List<String> SIGNALS = List.of("TERM", "INT");

    private volatile boolean received;

    private StopSignals() {}

    /** Installs handlers that record a signal and then do what the JVM does with it: shut down. */
    static StopSignals install() {
        StopSignals signals = new StopSignals();
        SIGNALS.forEach(signals::handle);
        return signals;
    }

    private void handle(String name) {
        SignalHandler[] previous = new SignalHandler[1];
        previous[0] = Signal.handle(new Signal(name), signal -> {
            received = true;
            previous[0].handle(signal);
        });
    }

    /** Returns whether a signal has told the process to stop. */
    boolean received() {
        return received;
    }
}
