package martenlatch.fleet.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** What becomes of messages, without sockets. */
class LinkModelTest {

    private static final double NO_BOUND = Double.POSITIVE_INFINITY;

    /**
     * Guards against streams that change the order of what was sent, and against a plan that can't be
     * repeated.
     */
    @Test
    void streamsKeepTheirOrderAndSeedsRepeat() {
        for (int seed = 0; seed < 1000; seed++) {
            LinkModel one = new LinkModel(seed);
            LinkModel again = new LinkModel(seed);
            Random random = new Random(seed);
            double now = 0;
            double before = 0;
            for (int i = 0; i < 50; i++) {
                if (i % 10 == 0) {
                    LinkConditions next = new LinkConditions(
                            random.nextInt(100),
                            random.nextInt(100),
                            random.nextDouble() * 0.5,
                            0,
                            0,
                            random.nextBoolean() ? NO_BOUND : 1000 + random.nextInt(100_000),
                            0,
                            false);
                    one.conduct(next);
                    again.conduct(next);
                }
                now += random.nextDouble() * 20;
                double at = one.stream(now, 100);
                assertTrue(at >= now && at >= before, "seed " + seed);
                assertEquals(at, again.stream(now, 100), "seed " + seed);
                before = at;
            }
        }
    }

    @Test
    void aRateHoldsBackWhatIsSentFaster() {
        LinkModel model = new LinkModel(1);
        model.conduct(new LinkConditions(10, 0, 0, 0, 0, 1000, 0, false));
        assertEquals(110, model.stream(0, 100), 1e-9);
        assertEquals(210, model.stream(0, 100), 1e-9);
        assertEquals(1110, model.stream(1000, 100), 1e-9);
    }

    /** What is lost of a stream comes after TCP's time to send again; of datagrams it never comes. */
    @Test
    void lossDelaysStreamsAndTakesDatagrams() {
        LinkModel model = new LinkModel(7);
        model.conduct(new LinkConditions(0, 0, 0.3, 0, 0, NO_BOUND, 0, false));
        int late = 0;
        int came = 0;
        for (int i = 0; i < 10_000; i++) {
            // Far apart: none waits for the one before.
            double now = i * 1e6;
            late += model.stream(now, 1) - now >= LinkModel.RESEND_MS ? 1 : 0;
            came += model.datagram(now, 1).length;
        }
        assertEquals(3000, late, 200);
        assertEquals(7000, came, 200);
    }

    @Test
    void datagramsComeTwiceLateOrNotAtAll() {
        LinkModel model = new LinkModel(3);
        model.conduct(new LinkConditions(5, 0, 0, 1, 0, NO_BOUND, 0, false));
        assertArrayEquals(new double[] {5, 5}, model.datagram(0, 10));
        model.conduct(new LinkConditions(5, 0, 0, 0, 1, NO_BOUND, 0, false));
        assertArrayEquals(new double[] {5 + LinkModel.REORDER_MS}, model.datagram(0, 10));
        model.conduct(LinkConditions.SILENT);
        assertEquals(0, model.datagram(0, 10).length);
    }

    @Test
    void conductsAddUpAndBadOnesAreNamed() {
        LinkConditions both = new LinkConditions(5, 1, 0.1, 0, 0, 1000, 0, false)
                .combinedWith(new LinkConditions(7, 2, 0.2, 0, 0, NO_BOUND, 0, true));
        assertEquals(new LinkConditions(12, 3, 0.2, 0, 0, 1000, 0, true), both);
        assertEquals(
                "loss must be 0.0 to 0.95 but is 1.0",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new LinkConditions(0, 0, 1, 0, 0, NO_BOUND, 0, false))
                        .getMessage());
    }
}
