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
 * Recorded traffic from a file, plain or gzip (RFC 1952). The file may be larger than memory: one pass checks it before
 * the run begins, and a second pass reads it during the run.
 */
public final class Trace {

    /** Number of invalid lines that are reported; further ones are only counted. */
    private static final int MAX_COMPLAINTS = 20;
    /** No valid line is longer; the rest of a longer one is skipped. */
    private static final int MAX_LINE_BYTES = 64 * 1024;

    private static final int BUFFER_BYTES = 64 * 1024;
    private static final int GZIP_MAGIC = 0x1f8b;

    private final Path file;
    private final List<LoadClass> classes;
    private final List<String> complaints = new ArrayList<>();
    private long lines;
    private long bad;
    private double firstSecond = Double.NaN;
    private double lastSecond;

    private Trace(Path file, List<LoadClass> classes) {
        this.file = file;
        this.classes = classes;
    }

    /**
     * Checks a whole file without keeping its lines in memory.
     *
     * @param maxBadShare largest allowed share of invalid lines, 0 to 1; if there are more, throws an exception that
     *     names the first of them
     */
    public static Trace check(Path file, List<LoadClass> classes, double maxBadShare) throws IOException {
        Trace trace = new Trace(file, classes);
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
            throw new IllegalArgumentException(file + " has no valid line"
                    + (trace.complaints.isEmpty() ? ": it is empty" : ": " + String.join("; ", trace.complaints)));
        }
        if (trace.bad > maxBadShare * trace.lines) {
            throw new IllegalArgumentException(file + ": " + trace.bad + " of " + trace.lines + " lines are invalid: "
                    + String.join("; ", trace.complaints));
        }
        return trace;
    }

    private void complain(String complaint) {
        bad++;
        if (complaints.size() < MAX_COMPLAINTS) {
            complaints.add(complaint);
        }
    }

    /** Returns the number of lines that hold a record, valid or not. */
    public long lines() {
        return lines;
    }

    /** Returns the number of invalid lines. */
    public long bad() {
        return bad;
    }

    /** Returns the line numbers and reasons of the first invalid lines. */
    public List<String> complaints() {
        return complaints;
    }

    /** Returns the time from the first record to the last one as recorded, in seconds. */
    public double seconds() {
        return lastSecond - firstSecond;
    }

    /**
     * Returns the recorded arrivals, timed from the first record.
     *
     * @param speed speed of the replay, relative to the recording
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
                                line.loadClass(),
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

    /** Receives a message for each invalid line. */
    private interface Complaints {
        void bad(String complaint);
    }

    /** Reads the file line by line; both passes use it, so that they skip the same lines. */
    private final class Reader implements Closeable {
        private final InputStream in;
        private final Complaints complaintListener;
        private final byte[] buffer = new byte[BUFFER_BYTES];
        private final byte[] line = new byte[MAX_LINE_BYTES];
        private int position;
        private int filled;
        private long number;
        private long records;
        private TraceFormat format;
        private double latestSeconds = Double.NEGATIVE_INFINITY;

        Reader(Complaints complaintListener) throws IOException {
            this.complaintListener = complaintListener;
            in = open();
        }

        private InputStream open() throws IOException {
            InputStream raw = new BufferedInputStream(Files.newInputStream(file), BUFFER_BYTES);
            try {
                raw.mark(2);
                int magic = raw.read() << 8 | raw.read();
                raw.reset();
                return magic == GZIP_MAGIC ? new GZIPInputStream(raw, BUFFER_BYTES) : raw;
            } catch (IOException e) {
                raw.close();
                throw e;
            }
        }

        /** Returns the next valid line, or null at the end. */
        TraceFormat.Line next() throws IOException {
            for (String text = readLine(); text != null; text = readLine()) {
                if (text.isBlank()) {
                    continue;
                }
                try {
                    if (format == null) {
                        format = new TraceFormat(text, classes);
                        if (format.hasHeader()) {
                            continue;
                        }
                    }
                    records++;
                    TraceFormat.Line parsed = format.parse(text);
                    if (parsed.seconds() < latestSeconds) {
                        throw new IllegalArgumentException(
                                "time runs backwards, from " + latestSeconds + " to " + parsed.seconds());
                    }
                    latestSeconds = parsed.seconds();
                    return parsed;
                } catch (IOException | IllegalArgumentException e) {
                    if (format == null) {
                        throw new IllegalArgumentException(file + ": " + e.getMessage(), e);
                    }
                    complaintListener.bad("line " + number + ": "
                            + e.getMessage().lines().findFirst().orElse(""));
                }
            }
            return null;
        }

        /** Returns the next line, truncated if it is longer than any valid line; null at the end. */
        private String readLine() throws IOException {
            int length = 0;
            boolean any = false;
            while (true) {
                if (position == filled) {
                    position = 0;
                    filled = Math.max(0, in.read(buffer));
                    if (filled == 0) {
                        number += any ? 1 : 0;
                        return any ? string(length) : null;
                    }
                }
                byte next = buffer[position++];
                any = true;
                if (next == '\n') {
                    number++;
                    return string(length);
                }
                if (length < MAX_LINE_BYTES) {
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
