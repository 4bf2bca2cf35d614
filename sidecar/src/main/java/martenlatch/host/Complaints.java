package martenlatch.host;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/** The log for what goes wrong: a line a second of each kind at most, as trouble comes by the thousand. */
public final class Complaints {

    private static final double PAUSE_MS = 1000;

    private static final class Kind {
        double nextAt = Double.NEGATIVE_INFINITY;
        int suppressed;
    }

    private final Time time;
    private final PrintStream out;
    private final Map<String, Kind> kinds = new HashMap<>();

    public Complaints(Time time, PrintStream out) {
        this.time = time;
        this.out = out;
    }

    /** Logs what happened, unless a line of this kind has been logged within the last second. */
    public void log(String kind, Object detail) {
        Kind known = kinds.computeIfAbsent(kind, k -> new Kind());
        double now = time.now();
        if (now < known.nextAt) {
            known.suppressed++;
            return;
        }
        known.nextAt = now + PAUSE_MS;
        out.println("martenlatch: " + kind + ": " + detail
                + (known.suppressed == 0 ? "" : " (and " + known.suppressed + " more before)"));
        known.suppressed = 0;
    }

    /** An exception of our own making: the place it came from is what helps. */
    public void bug(String kind, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        log(kind, e + (trace.length == 0 ? "" : " at " + trace[0] + (trace.length == 1 ? "" : ", " + trace[1])));
    }

    /** A line that the decision module wants the operators to see. */
    public void say(String line) {
        out.println("martenlatch: " + line);
    }
}
