package martenlatch.load;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Results are void because of the generator's own lateness, and never because of a slow service. */
class GeneratorLatenessTest {

    private static final long MS = 1_000_000;
    private final GeneratorLateness lateness = new GeneratorLateness();

    private void second(int number, int sends, int late, int answers, int lateAnswers) {
        for (int i = 0; i < sends; i++) {
            lateness.recordSend(number, i < late ? 20 * MS : MS / 10);
        }
        for (int i = 0; i < answers; i++) {
            lateness.recordAnswer(number, i < lateAnswers ? 20 * MS : MS / 10);
        }
    }

    @Test
    void toleratesOnePercentOfLateSendsAndAnswers() {
        second(0, 1000, 10, 1000, 10);
        assertEquals(-1, lateness.voidFrom());
        assertEquals(0.01, lateness.lateShare(), 1e-9);
    }

    @Test
    void voidsAllSecondsFromTheFirstOneWithTooManyLateSends() {
        second(0, 1000, 0, 1000, 0);
        second(1, 1000, 11, 1000, 0);
        second(2, 1000, 0, 1000, 0);
        assertEquals(1, lateness.voidFrom());
    }

    @Test
    void voidsASecondWithLateAnswersEvenIfAllSendsWereInTime() {
        second(0, 1000, 0, 1000, 0);
        second(1, 10, 0, 20, 1);
        assertEquals(1, lateness.voidFrom());
    }

    @Test
    void evaluatesTheLastSecond() {
        second(5, 100, 2, 100, 0);
        assertEquals(5, lateness.voidFrom());
    }

    @Test
    void voidsNothingIfTheServiceDoesNotAnswer() {
        for (int i = 0; i < 10; i++) {
            second(i, 1000, 0, 0, 0);
        }
        assertEquals(-1, lateness.voidFrom());
    }

    @Test
    void keepsTheEarlierVoidSecondOfTwoWorkers() {
        second(3, 100, 50, 0, 0);
        GeneratorLateness other = new GeneratorLateness();
        other.recordSend(1, 5 * MS);
        lateness.add(other);
        assertEquals(1, lateness.voidFrom());
        assertEquals(51 / 101.0, lateness.lateShare(), 1e-9);
    }
}
