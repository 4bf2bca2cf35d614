package martenlatch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the table of executed ids forgets no id early, and accepts none twice from two processes. */
@Timeout(60)
class ExecutedIdTableTest {

    private static final int SMALL_TABLE_BYTES = 64 * 1024;
    /** The resolution of expiry times. */
    private static final long TIME_UNIT_MS = 16;

    private final ExecutedIdTable table = new ExecutedIdTable(ByteBuffer.allocateDirect(SMALL_TABLE_BYTES));

    @Test
    void idIsHeldUntilItExpiresOrIsRemoved() {
        assertEquals(ExecutedIdTable.ABSENT, table.putIfAbsent("a", 1000, 61_000));
        assertTrue(Math.abs(table.putIfAbsent("a", 60_000, 120_000) - 61_000) <= TIME_UNIT_MS);
        assertEquals(ExecutedIdTable.ABSENT, table.putIfAbsent("a", 61_100, 121_100));
        table.remove("a", 61_100);
        assertEquals(ExecutedIdTable.ABSENT, table.putIfAbsent("a", 61_200, 121_200));
    }

    /** Random sequences against a map: the table never forgets an id early and never invents one. */
    @Test
    void behavesLikeAMapWithExpiry() {
        for (int seed = 0; seed < 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ExecutedIdTable tested = new ExecutedIdTable(ByteBuffer.allocateDirect(SMALL_TABLE_BYTES));
            Map<String, Long> expected = new HashMap<>();
            // Starts near the end of the range of times, which wraps around.
            long now = (1L << 24) * TIME_UNIT_MS - 30_000 + seed;
            for (int step = 0; step < 20_000; step++) {
                now += random.nextInt(40);
                String id = "id" + random.nextInt(3000);
                long expiry = now + 2 * TIME_UNIT_MS + random.nextInt(60_000);
                Long held = expected.get(id);
                Long result = tested.putIfAbsent(id, now, expiry);
                assertNotNull(result, "seed " + seed + ": the table is full");
                boolean present = result != ExecutedIdTable.ABSENT;
                if (held != null && held > now + TIME_UNIT_MS) {
                    assertTrue(present, "seed " + seed + " step " + step + ": forgot " + id);
                } else if (held == null || held < now - TIME_UNIT_MS) {
                    assertTrue(!present, "seed " + seed + " step " + step + ": invented " + id);
                }
                if (!present) {
                    expected.put(id, expiry);
                }
                if (random.nextInt(10) == 0) {
                    tested.remove(id, now);
                    expected.remove(id);
                }
            }
        }
    }

    /** A table without room says so, and forgets none of the ids that it holds. */
    @Test
    void fullTableForgetsNothing() {
        int added = 0;
        while (table.putIfAbsent("id" + added, 1000, 61_000) != null) {
            added++;
        }
        assertTrue(added > SMALL_TABLE_BYTES / Long.BYTES / 2, added + " ids were added");
        for (int i = 0; i < added; i++) {
            assertTrue(table.putIfAbsent("id" + i, 1000, 61_000) != ExecutedIdTable.ABSENT, "id" + i);
        }
    }

    /** Guards against an id that two processes both accept. */
    @Test
    void oneOfTwoWritersGetsAnId() throws Exception {
        ByteBuffer shared = ByteBuffer.allocateDirect(SMALL_TABLE_BYTES);
        int ids = 5000;
        AtomicInteger accepted = new AtomicInteger();
        CountDownLatch start = new CountDownLatch(1);
        Thread[] writers = new Thread[2];
        for (int i = 0; i < writers.length; i++) {
            ExecutedIdTable view = new ExecutedIdTable(shared);
            writers[i] = new Thread(() -> {
                await(start);
                for (int id = 0; id < ids; id++) {
                    Long result = view.putIfAbsent("id" + id, 1000, 61_000);
                    if (result != null && result == ExecutedIdTable.ABSENT) {
                        accepted.incrementAndGet();
                    }
                }
            });
            writers[i].start();
        }
        start.countDown();
        for (Thread writer : writers) {
            writer.join();
        }
        assertEquals(ids, accepted.get());
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
