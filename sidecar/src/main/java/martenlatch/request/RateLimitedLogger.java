package martenlatch.request;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/** A log that writes at most one line a second of each category, as failures come by the thousand. */
public final class RateLimitedLogger {

    private static final double INTERVAL_MS = 1000;
    private static final String PREFIX = "martenlatch: ";

    private static final class Category {
        private double nextLineMs = Double.NEGATIVE_INFINITY;
        private int suppressed;
    }

    private final Scheduler scheduler;
    private final PrintStream out;
    private final Map<String, Category> categories = new HashMap<>();

    /** Creates a log on a stream. */
    public RateLimitedLogger(Scheduler scheduler, PrintStream out) {
        this.scheduler = scheduler;
        this.out = out;
    }

    /** Logs what happened, unless a line of this category was written within the last second. */
    public void log(String category, Object detail) {
        Category state = categories.computeIfAbsent(category, name -> new Category());
        double now = scheduler.now();
        if (now < state.nextLineMs) {
            state.suppressed++;
            return;
        }
        state.nextLineMs = now + INTERVAL_MS;
        String suppressed = state.suppressed == 0 ? "" : " (and " + state.suppressed + " more before)";
        out.println(PREFIX + category + ": " + detail + suppressed);
        state.suppressed = 0;
    }

    /** Logs an exception that shows a fault of this program, with the place where it was thrown. */
    public void logException(String category, Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        String place = trace.length == 0 ? "" : " at " + trace[0];
        String caller = trace.length <= 1 ? "" : ", " + trace[1];
        log(category, exception + place + caller);
    }

    /** Logs a line without a limit; the caller sees to its rate. */
    public void info(Object line) {
        out.println(PREFIX + line);
    }
}
