package martenlatch.frontend.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks that a single timer ends each idle stream when its own time-out expires. */
class IdleStreamMonitorTest {

    private static final double TIMEOUT_MS = 100;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final double startMs = scheduler.now();
    private final IdleStreamMonitor streams = new IdleStreamMonitor(scheduler, TIMEOUT_MS);
    private final List<String> ended = new ArrayList<>();

    private IdleStreamMonitor.Entry entry(String name) {
        return new IdleStreamMonitor.Entry(() -> ended.add(name + "@" + Math.round(scheduler.now() - startMs)));
    }

    @Test
    void eachStreamEndsAtItsOwnTimeOutWithOneTimer() {
        for (int i = 0; i < 4; i++) {
            streams.watch(entry("s" + i));
            scheduler.advance(10);
        }
        assertEquals(1, scheduler.waiting());
        scheduler.advance(500);
        assertEquals(List.of("s0@100", "s1@110", "s2@120", "s3@130"), ended);
        assertEquals(0, scheduler.waiting());
    }

    @Test
    void forgottenStreamIsNotEndedAndTheNextOneStillIs() {
        IdleStreamMonitor.Entry first = entry("first");
        streams.watch(first);
        scheduler.advance(30);
        streams.watch(entry("second"));
        streams.forget(first);
        streams.forget(first);
        scheduler.advance(200);
        assertEquals(List.of("second@130"), ended);
    }

    @Test
    void watchingAgainRestartsTheTimeOut() {
        IdleStreamMonitor.Entry entry = entry("s");
        streams.watch(entry);
        scheduler.advance(60);
        streams.watch(entry);
        scheduler.advance(99);
        assertTrue(ended.isEmpty());
        scheduler.advance(1);
        assertEquals(List.of("s@160"), ended);
    }

    @Test
    void timeoutCallbackMayForgetAndWatchOtherStreams() {
        IdleStreamMonitor.Entry other = entry("other");
        streams.watch(new IdleStreamMonitor.Entry(() -> {
            ended.add("first");
            streams.forget(other);
            streams.watch(entry("new"));
        }));
        streams.watch(other);
        scheduler.advance(300);
        assertEquals(List.of("first", "new@200"), ended);
    }

    @Test
    void randomStreamsEndAsIfEachHadItsOwnTimer() {
        SplittableRandom random = new SplittableRandom(20261201);
        Map<Integer, Double> due = new HashMap<>();
        Map<Integer, IdleStreamMonitor.Entry> entries = new HashMap<>();
        for (int step = 0; step < 20_000; step++) {
            int number = random.nextInt(50);
            entries.computeIfAbsent(
                    number, n -> new IdleStreamMonitor.Entry(() -> assertEquals(due.remove(n), scheduler.now(), 1e-6)));
            if (random.nextInt(3) == 0) {
                streams.forget(entries.get(number));
                due.remove(number);
            } else {
                streams.watch(entries.get(number));
                due.put(number, scheduler.now() + TIMEOUT_MS);
            }
            scheduler.advance(random.nextDouble() * 10);
            due.values().forEach(at -> assertTrue(at > scheduler.now(), "an expired stream was not ended"));
        }
    }
}
