package martenlatch.frontend.extproc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import org.junit.jupiter.api.Test;

/**
 * Proxies that time out, break off, ask twice, come back late and carry out old decisions, before a processor
 * that restarts: no unsafe request runs twice, no keyed one outside its group and window, each consultation
 * ends once, and nothing is left.
 */
class RandomProcessingStreamsTest {

    private static final int SEQUENCES = 3000;
    private static final int STEPS = 60;
    private static final List<RequestClass> KINDS =
            List.of(ExtProcFixture.READ, ExtProcFixture.ORDER, ExtProcFixture.SAVE, ExtProcFixture.PUT);

    /** A request as the world outside sees it. */
    private static final class Asked {
        final String id;
        final RequestClass kind;
        int attempt;
        final List<String> ranAt = new ArrayList<>();
        final List<Double> ranWhen = new ArrayList<>();

        Asked(String id, RequestClass kind) {
            this.id = id;
            this.kind = kind;
        }
    }

    /** A decision that a proxy has and has not carried out. */
    private record Held(Asked asked, ExtProcFixture.Stream stream, String endpoint, double until) {}

    @Test
    void theRulesHold() {
        Map<String, Integer> all = new HashMap<>();
        for (long seed = 1; seed <= SEQUENCES; seed++) {
            Sequence one = new Sequence(seed);
            try {
                one.play();
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("seed " + seed + ": " + one.doing, e);
            }
            one.seen.forEach((what, count) -> all.merge(what, count, Integer::sum));
        }
        // The sequences must have come by all that they are about.
        for (String what : List.of(
                "decided",
                "status 409",
                "status 500",
                "status 503",
                "status 504",
                "passed",
                "retriable",
                "ran",
                "restart",
                "late decision",
                "broken")) {
            assertTrue(all.getOrDefault(what, 0) > 100, what + ": " + all);
        }
    }

    /** One seed's play. */
    private static final class Sequence {
        private final SplittableRandom random;
        private final ExtProcFixture fixture = new ExtProcFixture(servers());
        private final List<Asked> requests = new ArrayList<>();
        private final List<ExtProcFixture.Stream> streams = new ArrayList<>();
        private final List<Held> held = new ArrayList<>();
        /** What was sent, and what came of it is not told yet. */
        private final List<Held> sent = new ArrayList<>();

        private final Map<String, Integer> seen = new HashMap<>();
        private String doing = "";

        /**
         * Without restarts of ours proxies may count as they like, or not at all; only where they count do we
         * know a later attempt from a first one after a restart.
         */
        private final boolean restarts;

        Sequence(long seed) {
            random = new SplittableRandom(seed);
            restarts = seed % 2 == 0;
        }

        private static Endpoint[] servers() {
            return new Endpoint[] {
                ExtProcFixture.server(0), ExtProcFixture.server(1), ExtProcFixture.server(2), ExtProcFixture.server(3)
            };
        }

        private void play() {
            for (int step = 0; step < STEPS; step++) {
                switch (random.nextInt(12)) {
                    case 0, 1, 2 -> ask(fresh());
                    case 3, 4 -> askAgain();
                    case 5, 6 -> carryOut();
                    case 7, 8 -> tell();
                    case 9 -> breakOff();
                    case 10 -> fixture.time.advance(random.nextInt(random.nextInt(10) == 0 ? 3000 : 120));
                    default -> {
                        if (restarts && random.nextInt(20) == 0) {
                            restart();
                        } else if (random.nextInt(2) == 0) {
                            fixture.settle();
                        }
                    }
                }
            }
            leave();
        }

        private Asked fresh() {
            Asked made = new Asked("r" + requests.size(), KINDS.get(random.nextInt(KINDS.size())));
            requests.add(made);
            return made;
        }

        private void note(String what) {
            doing = what;
            seen.merge(what, 1, Integer::sum);
        }

        private void ask(Asked asked) {
            asked.attempt += restarts || random.nextInt(3) == 0 ? 1 : 0;
            say(asked);
            if (random.nextInt(8) == 0) {
                say(asked);
            }
            if (random.nextInt(4) > 0) {
                fixture.settle();
            }
            collect();
        }

        private final Map<ExtProcFixture.Stream, Asked> asking = new HashMap<>();

        private void say(Asked asked) {
            ExtProcFixture.Stream stream = fixture.open();
            streams.add(stream);
            stream.say(ExtProcFixture.request(ExtProcFixture.heads(asked.id, asked.kind, asked.attempt)));
            asking.put(stream, asked);
        }

        /** Takes up the decisions that have come. */
        private void collect() {
            for (ExtProcFixture.Stream stream : List.copyOf(asking.keySet())) {
                if (!stream.told.isEmpty()) {
                    Asked asked = asking.remove(stream);
                    if (stream.endpoint() != null) {
                        note("decided");
                        held.add(new Held(asked, stream, stream.endpoint(), fixture.time.now() + 350));
                    } else {
                        note("status " + stream.status());
                    }
                } else if (stream.ends > 0 || stream.isCancelled()) {
                    asking.remove(stream);
                }
            }
        }

        /** Another attempt of a request, which the proxy's reasons for are its own. */
        private void askAgain() {
            if (!requests.isEmpty()) {
                ask(requests.get(requests.size() - 1 - random.nextInt(Math.min(4, requests.size()))));
            }
        }

        /** A proxy sends; it does so within the time that a decision may be old, stream or no stream. */
        private void carryOut() {
            collect();
            held.removeIf(one -> one.until() < fixture.time.now());
            if (held.isEmpty()) {
                return;
            }
            Held one = held.remove(random.nextInt(held.size()));
            if (one.stream().isCancelled() || one.stream().ends > 0) {
                note("late decision");
            }
            note("ran");
            Asked asked = one.asked();
            asked.ranAt.add(one.endpoint());
            asked.ranWhen.add(fixture.time.now());
            if (asked.kind.idempotency() == Idempotency.NON_IDEMPOTENT) {
                assertEquals(1, asked.ranAt.size(), asked.id + " ran at " + asked.ranAt);
            } else if (asked.kind.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
                if (asked.kind.deduplicationScope() == DeduplicationScope.CELL) {
                    assertEquals(1, asked.ranAt.stream().distinct().count(), "a cell each: " + asked.ranAt);
                }
                assertTrue(
                        fixture.time.now() - asked.ranWhen.get(0) <= asked.kind.deduplicationWindowMs() + 350,
                        asked.id + " at " + asked.ranWhen);
            }
            sent.add(one);
        }

        /** A proxy tells what came of what it sent, or of what it could not send. */
        private void tell() {
            boolean ran = !sent.isEmpty() && random.nextInt(3) > 0;
            if (!ran && held.isEmpty()) {
                return;
            }
            List<Held> from = ran ? sent : held;
            Held one = from.remove(random.nextInt(from.size()));
            ExtProcFixture.Stream stream = one.stream();
            if (stream.isCancelled() || stream.ends > 0) {
                return;
            }
            stream.say(
                    !ran
                            ? ExtProcFixture.response(503, ExtProcFixture.NOT_CONNECTED)
                            : switch (random.nextInt(5)) {
                                case 0 -> ExtProcFixture.response(500, 0);
                                case 1 -> ExtProcFixture.response(503, ExtProcFixture.BROKEN);
                                case 2 -> ExtProcFixture.response(504, ExtProcFixture.TIMED_OUT);
                                default -> ExtProcFixture.response(200, 0);
                            });
            if (stream.error == null) {
                note(stream.isPassedOn() ? "passed" : stream.status() > 0 ? "status " + stream.status() : "retriable");
            }
            assertEquals(1, stream.ends);
        }

        private void breakOff() {
            if (!streams.isEmpty()) {
                note("broken");
                streams.get(streams.size() - 1 - random.nextInt(Math.min(5, streams.size())))
                        .breakOff();
            }
        }

        /** All streams break, and what was not decided by then never will be. */
        private void restart() {
            note("restart");
            streams.forEach(ExtProcFixture.Stream::breakOff);
            collect();
            fixture.restart(servers());
        }

        private void leave() {
            fixture.settle();
            streams.forEach(ExtProcFixture.Stream::breakOff);
            for (ExtProcFixture.Stream stream : streams) {
                assertEquals(
                        stream.isCancelled() ? 0 : 1,
                        stream.ends,
                        "ended " + stream.ends + " times, broken off: " + stream.isCancelled());
            }
            fixture.time.advance(30_000);
            assertEquals(
                    List.of(0, 0, 0, 0),
                    List.of(
                            fixture.processor.openStreams(),
                            fixture.processor.pendingRequests(),
                            fixture.exchange.pendingRequests(),
                            fixture.processor.rememberedRequests()));
            assertEquals(0, fixture.time.waiting());
        }
    }
}
