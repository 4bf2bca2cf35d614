package martenlatch.frontend.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One timer for all silent streams ends each of them at its own time, and no other. */
class IdleStreamMonitorTest {

    private static final double LIMIT_MS = 100;

    private final ManualScheduler time = new ManualScheduler();
    private final double began = time.now();
    private final IdleStreamMonitor streams = new IdleStreamMonitor(time, LIMIT_MS);
    private final List<String> ended = new ArrayList<>();

    private IdleStreamMonitor.Entry place(String name) {
        return new IdleStreamMonitor.Entry(() -> ended.add(name + "@" + Math.round(time.now() - began)));
    }

    @Test
    void eachEndsAtItsOwnTimeAndOneTimerDoes() {
        for (int i = 0; i < 4; i++) {
            streams.watch(place("s" + i));
            time.advance(10);
        }
        assertEquals(1, time.waiting());
        time.advance(500);
        assertEquals(List.of("s0@100", "s1@110", "s2@120", "s3@130"), ended);
        assertEquals(0, time.waiting());
    }

    @Test
    void oneThatHasSpokenIsLeftAloneAndTheNextStillEndsInTime() {
        IdleStreamMonitor.Entry first = place("first");
        streams.watch(first);
        time.advance(30);
        streams.watch(place("second"));
        streams.forget(first);
        streams.forget(first);
        time.advance(200);
        assertEquals(List.of("second@130"), ended);
    }

    @Test
    void oneThatIsWatchedAgainCountsFromThen() {
        IdleStreamMonitor.Entry place = place("s");
        streams.watch(place);
        time.advance(60);
        streams.watch(place);
        time.advance(99);
        assertTrue(ended.isEmpty());
        time.advance(1);
        assertEquals(List.of("s@160"), ended);
    }

    @Test
    void anEndMayEndOrWatchOthers() {
        IdleStreamMonitor.Entry other = place("other");
        streams.watch(new IdleStreamMonitor.Entry(() -> {
            ended.add("first");
            streams.forget(other);
            streams.watch(place("new"));
        }));
        streams.watch(other);
        time.advance(300);
        assertEquals(List.of("first", "new@200"), ended);
    }

    @Test
    void randomOnesEndAsWithATimerForEach() {
        SplittableRandom random = new SplittableRandom(20261201);
        Map<Integer, Double> due = new HashMap<>();
        Map<Integer, IdleStreamMonitor.Entry> places = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            int one = random.nextInt(50);
            places.computeIfAbsent(
                    one, n -> new IdleStreamMonitor.Entry(() -> assertEquals(due.remove(n), time.now(), 1e-6)));
            if (random.nextInt(3) == 0) {
                streams.forget(places.get(one));
                due.remove(one);
            } else {
                streams.watch(places.get(one));
                due.put(one, time.now() + LIMIT_MS);
            }
            time.advance(random.nextDouble() * 10);
            due.values().forEach(at -> assertTrue(at > time.now(), "one stands beyond its time"));
        }
    }
}
