package martenlatch.request;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

/** Logs at most one line per second for each category, as an outage can cause thousands of failures. */
public final class RateLimitedLogger {

    private static final double INTERVAL_MS = 1000;
    /** The number of lines in an interval for categories whose lines each tell of another request. */
    private static final int MAX_LINES_OF_EACH = 20;

    private static final String PREFIX = "martenlatch: ";

    private static final class Category {
        private double nextLineMs = Double.NEGATIVE_INFINITY;
        /** The number of lines written in the current interval. */
        private int lines;

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
        log(category, 1, () -> detail);
    }

    /** Logs a line for each event, up to a number that bounds the work; others are counted as suppressed. */
    public void logEach(String category, Supplier<?> detail) {
        log(category, MAX_LINES_OF_EACH, detail);
    }

    private void log(String category, int maxLines, Supplier<?> detail) {
        Category state = categories.computeIfAbsent(category, name -> new Category());
        double now = scheduler.now();
        if (now >= state.nextLineMs) {
            state.nextLineMs = now + INTERVAL_MS;
            state.lines = 0;
        }
        if (state.lines >= maxLines) {
            state.suppressed++;
            return;
        }
        state.lines++;
        String suppressed = state.suppressed == 0 ? "" : " (and " + state.suppressed + " more before)";
        out.println(PREFIX + category + ": " + detail.get() + suppressed);
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
