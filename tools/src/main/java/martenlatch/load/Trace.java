package martenlatch.load;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPInputStream;

/**
 * Recorded traffic from a file, plain or gzip (RFC 1952), which may be longer than memory: one pass checks it
 * before the run begins, and another plays it as it goes.
 */
public final class Trace {

    /** Complaints beyond so many are counted only. */
    private static final int MOST_NAMED = 20;
    /** No line of use is longer; the rest of a longer one is passed over. */
    private static final int MOST_LINE = 64 * 1024;

    private static final int BUFFER = 64 * 1024;
    private static final int GZIP_MAGIC = 0x1f8b;

    private final Path file;
    private final List<LoadClass> kinds;
    private final List<String> complaints = new ArrayList<>();
    private long lines;
    private long bad;
    private double firstSecond = Double.NaN;
    private double lastSecond;

    private Trace(Path file, List<LoadClass> kinds) {
        this.file = file;
        this.kinds = kinds;
    }

    /**
     * Reads all of a file once, and keeps none of it.
     *
     * @param mostBadShare the share of its lines that may be of no use, 0 to 1; with more of them it is not
     *     to be played, and the exception says which ones they are
     */
    public static Trace check(Path file, List<LoadClass> kinds, double mostBadShare) throws IOException {
        Trace trace = new Trace(file, kinds);
        try (Reader in = trace.new Reader(trace::complain)) {
            for (TraceFormat.Line line = in.next(); line != null; line = in.next()) {
                if (Double.isNaN(trace.firstSecond)) {
                    trace.firstSecond = line.seconds();
                }
                trace.lastSecond = line.seconds();
            }
            trace.lines = in.records;
        }
        if (trace.lines == trace.bad) {
            throw new IllegalArgumentException(file + " has no line that can be used"
                    + (trace.complaints.isEmpty() ? ": it is empty" : ": " + String.join("; ", trace.complaints)));
        }
        if (trace.bad > mostBadShare * trace.lines) {
            throw new IllegalArgumentException(file + ": " + trace.bad + " of " + trace.lines + " lines can't be used: "
                    + String.join("; ", trace.complaints));
        }
        return trace;
    }

    private void complain(String complaint) {
        bad++;
        if (complaints.size() < MOST_NAMED) {
            complaints.add(complaint);
        }
    }

    /** Lines that hold a record, of use or not. */
    public long lines() {
        return lines;
    }

    /** Lines of no use. */
    public long bad() {
        return bad;
    }

    /** The first of those, by number and reason. */
    public List<String> complaints() {
        return complaints;
    }

    /** From its first record to its last, at its own pace, in seconds. */
    public double seconds() {
        return lastSecond - firstSecond;
    }

    /**
     * Its wishes, from the first one's time on.
     *
     * @param speed how much faster than it was recorded; 1 is its own pace
     */
    public Arrivals play(double speed) throws IOException {
        if (!(speed > 0 && speed <= 1e6)) {
            throw new IllegalArgumentException("speed must be above 0, at most 1e6, but is " + speed);
        }
        Reader in = new Reader(complaint -> {});
        return new Arrivals() {
            private long count;

            @Override
            public Arrival next() throws IOException {
                TraceFormat.Line line = in.next();
                return line == null
                        ? null
                        : new Arrival(
                                count++,
                                (long) ((line.seconds() - firstSecond) / speed * 1e9),
                                line.kind(),
                                line.key(),
                                line.bodyBytes(),
                                line.deadlineMs());
            }

            @Override
            public double seconds() {
                return Trace.this.seconds() / speed;
            }

            @Override
            public void close() throws IOException {
                in.close();
            }
        };
    }

    private interface Complaints {
        void bad(String complaint);
    }

    /** Goes through the file; both passes see the same lines in the same way. */
    private final class Reader implements Closeable {
        private final InputStream in;
        private final Complaints bad;
        private final byte[] buffer = new byte[BUFFER];
        private final byte[] line = new byte[MOST_LINE];
        private int at;
        private int filled;
        private long number;
        private long records;
        private TraceFormat format;
        private double latest = Double.NEGATIVE_INFINITY;

        Reader(Complaints bad) throws IOException {
            this.bad = bad;
            in = open();
        }

        private InputStream open() throws IOException {
            InputStream raw = new BufferedInputStream(Files.newInputStream(file), BUFFER);
            try {
                raw.mark(2);
                int magic = raw.read() << 8 | raw.read();
                raw.reset();
                return magic == GZIP_MAGIC ? new GZIPInputStream(raw, BUFFER) : raw;
            } catch (IOException e) {
                raw.close();
                throw e;
            }
        }

        /** The next line that can be used, or null. */
        TraceFormat.Line next() throws IOException {
            for (String text = text(); text != null; text = text()) {
                if (text.isBlank()) {
                    continue;
                }
                try {
                    if (format == null) {
                        format = new TraceFormat(text, kinds);
                        if (format.hasHeader()) {
                            continue;
                        }
                    }
                    records++;
                    TraceFormat.Line made = format.parse(text);
                    if (made.seconds() < latest) {
                        throw new IllegalArgumentException(
                                "time runs backwards, from " + latest + " to " + made.seconds());
                    }
                    latest = made.seconds();
                    return made;
                } catch (IOException | IllegalArgumentException e) {
                    if (format == null) {
                        throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
                    }
                    bad.bad("line " + number + ": "
                            + e.getMessage().lines().findFirst().orElse(""));
                }
            }
            return null;
        }

        /** The next line, cut off where it is too long for any use; null at the end. */
        private String text() throws IOException {
            int length = 0;
            boolean any = false;
            while (true) {
                if (at == filled) {
                    at = 0;
                    filled = Math.max(0, in.read(buffer));
                    if (filled == 0) {
                        number += any ? 1 : 0;
                        return any ? string(length) : null;
                    }
                }
                byte next = buffer[at++];
                any = true;
                if (next == '\n') {
                    number++;
                    return string(length);
                }
                if (length < MOST_LINE) {
                    line[length++] = next;
                }
            }
        }

        private String string(int length) {
            int end = length > 0 && line[length - 1] == '\r' ? length - 1 : length;
            return new String(line, 0, end, StandardCharsets.UTF_8);
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }
}
