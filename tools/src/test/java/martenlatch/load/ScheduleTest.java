package martenlatch.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Arrivals follow their shapes, and a seed always gives the same arrivals. */
class ScheduleTest {

    private static List<Double> seconds(boolean poisson, long seed, String... shapes) {
        Schedule schedule =
                new Schedule(List.of(shapes).stream().map(Shape::parse).toList(), poisson, seed);
        List<Double> times = new ArrayList<>();
        for (long next = schedule.next(); next >= 0; next = schedule.next()) {
            times.add(next / 1e9);
        }
        return times;
    }

    private static long between(List<Double> times, double from, double to) {
        return times.stream().filter(t -> t > from && t <= to).count();
    }

    @Test
    void spacesAConstantRateEvenly() {
        List<Double> times = seconds(false, 1, "constant 100 2");
        assertEquals(200, times.size());
        for (int i = 0; i < times.size(); i++) {
            assertEquals((i + 1) / 100.0, times.get(i), 1e-6);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "constant 250 4, 1000",
        "ramp 0 500 4, 1000",
        "steps 100 300 3 6, 1200",
        "bursts 50 1050 2 0.5 4, 1200",
        "wave 200 150 2 4, 800"
    })
    void sendsTheIntegralOfTheRateOfEachShape(String shape, int arrivals) {
        assertEquals(arrivals, seconds(false, 1, shape).size(), 1);
    }

    @Test
    void sendsAtTheRateThatTheShapeHasAtEachTime() {
        List<Double> ramp = seconds(false, 1, "ramp 0 400 2");
        assertEquals(100, between(ramp, 0, 1), 1);
        assertEquals(300, between(ramp, 1, 2), 1);
        List<Double> steps = seconds(false, 1, "steps 100 300 3 6");
        assertEquals(200, between(steps, 0, 2), 1);
        assertEquals(400, between(steps, 2, 4), 1);
        assertEquals(600, between(steps, 4, 6), 1);
        List<Double> bursts = seconds(false, 1, "bursts 10 1000 2 0.5 4");
        assertEquals(500, between(bursts, 0, 0.5), 1);
        assertEquals(15, between(bursts, 0.5, 2), 1);
        assertEquals(500, between(bursts, 2, 2.5), 1);
        List<Double> wave = seconds(false, 1, "wave 200 200 4 4");
        // The integral of 200 + 200 sin over the half above the mean is 400 + 2 * 200 * 2 / pi.
        assertEquals(400 + 800 / Math.PI, between(wave, 0, 2), 1);
    }

    @Test
    void runsShapesOneAfterTheOther() {
        List<Double> times = seconds(false, 1, "constant 100 1", "constant 0 2", "constant 50 1");
        assertEquals(100, between(times, 0, 1), 1);
        assertEquals(0, between(times, 1.001, 2.999));
        assertEquals(50, between(times, 2.999, 4), 1);
        for (int i = 1; i < times.size(); i++) {
            assertTrue(times.get(i) >= times.get(i - 1));
        }
    }

    @Test
    void drawsPoissonGapsWithTheExpectedMeanAndVariance() {
        List<Double> times = seconds(true, 7, "constant 1000 100");
        assertEquals(100_000, times.size(), 1000);
        double mean = 0;
        double square = 0;
        for (int i = 1; i < times.size(); i++) {
            double gap = times.get(i) - times.get(i - 1);
            mean += gap / (times.size() - 1);
            square += gap * gap / (times.size() - 1);
        }
        // The variance of an exponential gap is the square of its mean; that of even gaps would be 0.
        assertEquals(0.001, mean, 0.00002);
        assertEquals(mean * mean, square - mean * mean, 0.03 * mean * mean);
    }

    @Test
    void repeatsTheArrivalsOfASeed() {
        assertEquals(seconds(true, 7, "ramp 10 500 3"), seconds(true, 7, "ramp 10 500 3"));
        assertTrue(!seconds(true, 7, "ramp 10 500 3").equals(seconds(true, 8, "ramp 10 500 3")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "constant",
                "constant 5",
                "constant -1 2",
                "constant 1 0",
                "ramp 1 2 x",
                "saw 1 2",
                "steps 1 2 1 3",
                "bursts 1 2 1 2 5",
                "wave 100 200 1 4",
                "constant NaN 1",
                "constant 1e12 1"
            })
    void rejectsAnInvalidShapeAndNamesIt(String text) {
        String message = assertThrows(IllegalArgumentException.class, () -> Shape.parse(text))
                .getMessage();
        assertTrue(message.startsWith("shape") && message.contains(text), message);
    }

    @Test
    void rejectsShapesWhoseRatesAreAllZero() {
        String message = assertThrows(
                        IllegalArgumentException.class,
                        () -> new Schedule(List.of(Shape.parse("constant 0 5")), false, 1))
                .getMessage();
        assertTrue(message.contains("rates are all 0"), message);
    }

    @Test
    void drawsClassesInProportionToTheirShares() throws Exception {
        List<LoadClass> classes = List.of(
                new LoadClass("a", 3, LoadClass.Effect.REPEATABLE, 0, 100, 0),
                new LoadClass("b", 1, LoadClass.Effect.UNSAFE, 10, 200, 0));
        Arrivals arrivals =
                Arrivals.drawn(new Schedule(List.of(Shape.parse("constant 10000 1")), false, 1), classes, 3);
        int[] counts = new int[2];
        long number = 0;
        for (Arrival next = arrivals.next(); next != null; next = arrivals.next()) {
            assertEquals(number++, next.number());
            counts[classes.indexOf(next.kind())]++;
        }
        assertEquals(7500, counts[0], 200);
        assertEquals(2500, counts[1], 200);
    }
}
