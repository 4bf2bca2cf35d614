package martenlatch.fleet.link;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the arrival times of messages, without sockets. */
class LinkModelTest {

    private static final double UNLIMITED = Double.POSITIVE_INFINITY;

    /**
     * Guards against streams that reorder messages, and against runs that cannot be reproduced from their seed.
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
                            random.nextBoolean() ? UNLIMITED : 1000 + random.nextInt(100_000),
                            0,
                            false);
                    one.setConditions(next);
                    again.setConditions(next);
                }
                now += random.nextDouble() * 20;
                double at = one.streamArrivalMs(now, 100);
                assertTrue(at >= now && at >= before, "seed " + seed);
                assertEquals(at, again.streamArrivalMs(now, 100), "seed " + seed);
                before = at;
            }
        }
    }

    @Test
    void bandwidthLimitDelaysFasterSenders() {
        LinkModel model = new LinkModel(1);
        model.setConditions(new LinkConditions(10, 0, 0, 0, 0, 1000, 0, false));
        assertEquals(110, model.streamArrivalMs(0, 100), 1e-9);
        assertEquals(210, model.streamArrivalMs(0, 100), 1e-9);
        assertEquals(1110, model.streamArrivalMs(1000, 100), 1e-9);
    }

    /** Lost stream data arrives after TCP's retransmission timeout; lost datagrams never arrive. */
    @Test
    void lossDelaysStreamsAndDropsDatagrams() {
        LinkModel model = new LinkModel(7);
        model.setConditions(new LinkConditions(0, 0, 0.3, 0, 0, UNLIMITED, 0, false));
        int late = 0;
        int arrived = 0;
        for (int i = 0; i < 10_000; i++) {
            // Messages are so far apart that none waits for the previous one.
            double now = i * 1e6;
            late += model.streamArrivalMs(now, 1) - now >= LinkModel.RETRANSMIT_TIMEOUT_MS ? 1 : 0;
            arrived += model.datagramArrivalsMs(now, 1).length;
        }
        assertEquals(3000, late, 200);
        assertEquals(7000, arrived, 200);
    }

    @Test
    void datagramsAreDuplicatedReorderedOrDropped() {
        LinkModel model = new LinkModel(3);
        model.setConditions(new LinkConditions(5, 0, 0, 1, 0, UNLIMITED, 0, false));
        assertArrayEquals(new double[] {5, 5}, model.datagramArrivalsMs(0, 10));
        model.setConditions(new LinkConditions(5, 0, 0, 0, 1, UNLIMITED, 0, false));
        assertArrayEquals(new double[] {5 + LinkModel.REORDER_DELAY_MS}, model.datagramArrivalsMs(0, 10));
        model.setConditions(LinkConditions.SILENT);
        assertEquals(0, model.datagramArrivalsMs(0, 10).length);
    }

    @Test
    void conditionsCombineAndInvalidOnesAreRejected() {
        LinkConditions both = new LinkConditions(5, 1, 0.1, 0, 0, 1000, 0, false)
                .combinedWith(new LinkConditions(7, 2, 0.2, 0, 0, UNLIMITED, 0, true));
        assertEquals(new LinkConditions(12, 3, 0.2, 0, 0, 1000, 0, true), both);
        assertEquals(
                "loss must be 0.0 to 0.95 but is 1.0",
                assertThrows(
                                IllegalArgumentException.class,
                                () -> new LinkConditions(0, 0, 1, 0, 0, UNLIMITED, 0, false))
                        .getMessage());
    }
}
