package martenlatch.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A trace is replayed as recorded; invalid lines are reported, and too many of them prevent the run.
 */
class TraceTest {

    private static final List<LoadClass> CLASSES = List.of(
            new LoadClass("read", 1, LoadClass.Effect.REPEATABLE, 0, 500, 0),
            new LoadClass("order", 1, LoadClass.Effect.UNSAFE, 100, 900, 0));

    @TempDir
    Path folder;

    private Path file(String... lines) throws IOException {
        return Files.writeString(folder.resolve("trace"), String.join("\n", lines) + "\n");
    }

    private static List<String> played(Trace trace, double speed) throws IOException {
        List<String> arrivalTexts = new ArrayList<>();
        try (Arrivals arrivals = trace.play(speed)) {
            for (Arrival next = arrivals.next(); next != null; next = arrivals.next()) {
                arrivalTexts.add(next.number() + "@" + next.intendedNanos() / 1_000_000 + " "
                        + next.kind().name()
                        + " "
                        + next.key() + " " + next.bodyBytes() + " " + next.deadlineMs());
            }
        }
        return arrivalTexts;
    }

    @Test
    void readsCsvColumnsByHeader() throws IOException {
        Trace trace = Trace.check(
                file("class,time,note,key,deadline,size", "read,100.5,\"a, b\",k1,,", "order,101,x,,250,4096"),
                CLASSES,
                0);
        assertEquals(List.of("0@0 read k1 0 500", "1@500 order null 4096 250"), played(trace, 1));
        assertEquals(0.5, trace.seconds(), 1e-9);
        assertEquals(2, trace.lines());
    }

    @Test
    void detectsJsonLinesAndGzipByContent() throws IOException {
        Path file = folder.resolve("trace.gz");
        try (OutputStream out = new GZIPOutputStream(Files.newOutputStream(file))) {
            out.write("""
                {"time":5,"class":"order","size":7,"more":{"a":[1]},"key":null}

                {"time":"5.25"}
                """.getBytes(StandardCharsets.UTF_8));
        }
        assertEquals(
                List.of("0@0 order null 7 900", "1@250 read null 0 500"), played(Trace.check(file, CLASSES, 0), 1));
    }

    @Test
    void scalesTimesBySpeed() throws IOException {
        Trace trace = Trace.check(file("time", "10", "14", "20"), CLASSES, 0);
        assertEquals(
                List.of("0@0 read null 0 500", "1@2000 read null 0 500", "2@5000 read null 0 500"), played(trace, 2));
        assertThrows(IllegalArgumentException.class, () -> trace.play(0));
    }

    @Test
    void reportsInvalidLinesByNumberAndSkipsThemInBothPasses() throws IOException {
        Trace trace = Trace.check(
                file(
                        "time,class,size",
                        "1,read,0",
                        "x,read,0",
                        "2,write,0",
                        "3,order,70000",
                        "2.5,read",
                        "4,order,5",
                        "3.9,read,1",
                        "5,read,0"),
                CLASSES,
                0.7);
        assertEquals(
                List.of(
                        "line 3: time must be a number from 0 to 10000000000 but is \"x\"",
                        "line 4: class must be one of the settings' but is \"write\"",
                        "line 5: size must be a number from 0 to 65536 but is \"70000\"",
                        "line 6: it must have 3 fields but has 2",
                        "line 8: time runs backwards, from 4.0 to 3.9"),
                trace.complaints());
        assertEquals(5, trace.bad());
        assertEquals(3, played(trace, 1).size());
    }

    @Test
    void rejectsATraceWithTooManyInvalidLines() throws IOException {
        Path file = file("time", "1", "x", "2", "3");
        assertEquals(1, Trace.check(file, CLASSES, 0.25).bad());
        String message = assertThrows(IllegalArgumentException.class, () -> Trace.check(file, CLASSES, 0.24))
                .getMessage();
        assertTrue(message.contains("1 of 4 lines") && message.contains("line 3"), message);
    }

    @Test
    void rejectsEmptyMissingAndTimelessTraces() throws IOException {
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Trace.check(file(""), CLASSES, 1))
                .getMessage()
                .contains("it is empty"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Trace.check(file("time,class"), CLASSES, 1))
                .getMessage()
                .contains("it is empty"));
        assertTrue(assertThrows(IllegalArgumentException.class, () -> Trace.check(file("when,class"), CLASSES, 1))
                .getMessage()
                .contains("a column time"));
        assertThrows(IOException.class, () -> Trace.check(folder.resolve("none"), CLASSES, 1));
    }

    @Test
    void countsAnOverlongLineAsOneInvalidLine() throws IOException {
        Trace trace = Trace.check(file("time,class", "1,read", "2," + "x".repeat(300_000), "3,read"), CLASSES, 0.5);
        assertEquals(1, trace.bad());
        assertEquals(2, played(trace, 1).size());
        assertTrue(trace.complaints().get(0).length() < 200);
    }
}
