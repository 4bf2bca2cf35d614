package martenlatch.request;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;

/** Logs at most one line per second for each category, as an outage can cause thousands of failures. */
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

    /** Creates a logger that writes to a stream. */
    public RateLimitedLogger(Scheduler scheduler, PrintStream out) {
        this.scheduler = scheduler;
        this.out = out;
    }

    /** Logs a line, or counts it as suppressed if one of this category was written within the last second. */
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

    /** Logs an exception that indicates a bug in this program, with the two innermost stack frames. */
    public void logException(String category, Throwable exception) {
        StackTraceElement[] trace = exception.getStackTrace();
        String thrownAt = trace.length == 0 ? "" : " at " + trace[0];
        String caller = trace.length <= 1 ? "" : ", " + trace[1];
        log(category, exception + thrownAt + caller);
    }

    /** Logs a line without a rate limit; the caller limits the rate. */
    public void info(Object line) {
        out.println(PREFIX + line);
    }
}
