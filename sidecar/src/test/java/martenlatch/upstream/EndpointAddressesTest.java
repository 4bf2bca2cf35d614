package martenlatch.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Who has an address, over lists that move endpoints about, beside a model that looks at all of them. */
class EndpointAddressesTest {

    private static final int SEQUENCES = 1000;
    private static final int LISTS = 40;
    private static final List<EndpointStatus> STATUSES = List.of(EndpointStatus.values());

    /** What the pool must agree with: an endpoint's start and address, none where another has taken it. */
    private static final class Model {
        private record Place(double startedMs, InetSocketAddress address) {}

        private final Map<String, Place> places = new LinkedHashMap<>();

        void update(EndpointList list) {
            if (list.full()) {
                places.keySet()
                        .removeIf(id -> list.entries().stream()
                                .noneMatch(entry -> entry.endpoint().id().equals(id)));
            }
            for (EndpointList.Entry entry : list.entries()) {
                String id = entry.endpoint().id();
                if (entry.endpoint().status() == EndpointStatus.GONE) {
                    places.remove(id);
                } else {
                    places.put(id, new Place(entry.endpoint().startedMs(), entry.address()));
                    settle(id);
                }
            }
        }

        private void settle(String id) {
            Place told = places.get(id);
            for (Map.Entry<String, Place> other : places.entrySet()) {
                if (!other.getKey().equals(id)
                        && told.address().equals(other.getValue().address())) {
                    boolean older = told.startedMs() < other.getValue().startedMs();
                    places.computeIfPresent(
                            older ? id : other.getKey(), (k, place) -> new Place(place.startedMs(), null));
                    return;
                }
            }
        }
    }

    private final EventLoop loop = new DefaultEventLoop();

    @AfterEach
    void close() {
        loop.shutdownGracefully();
    }

    private EndpointPool pool() {
        Scheduler still = new Scheduler() {
            @Override
            public double now() {
                return 0;
            }

            @Override
            public Timer after(double ms, Runnable task) {
                return () -> {};
            }
        };
        return new EndpointPool(
                loop,
                still,
                new RateLimitedLogger(still, new PrintStream(OutputStream.nullOutputStream())),
                100,
                1000,
                10);
    }

    private static EndpointList.Entry entry(int id, int port, double startedMs, EndpointStatus state) {
        return new EndpointList.Entry(
                new Endpoint("s" + id, 0, 0, 0, startedMs, state, 1),
                state == EndpointStatus.GONE ? null : InetSocketAddress.createUnresolved("e", port));
    }

    @Test
    void oneEndpointHasAnAddress() {
        for (int seed = 0; seed < SEQUENCES; seed++) {
            Random random = new Random(seed);
            EndpointPool pool = pool();
            Model model = new Model();
            for (int i = 0; i < LISTS; i++) {
                List<EndpointList.Entry> entries = new ArrayList<>();
                for (int left = random.nextInt(4); left >= 0; left--) {
                    entries.add(entry(
                            random.nextInt(6),
                            1 + random.nextInt(4),
                            random.nextInt(3),
                            STATUSES.get(random.nextInt(STATUSES.size()))));
                }
                EndpointList list = new EndpointList(i, random.nextInt(8) == 0, entries);
                pool.update(list);
                model.update(list);
                for (int id = 0; id < 6; id++) {
                    Model.Place place = model.places.get("s" + id);
                    assertEquals(
                            place != null && place.address() != null,
                            pool.hasAddress("s" + id),
                            "s" + id + " after list " + i + " of seed " + seed);
                }
                assertEquals(model.places.size(), pool.size());
                assertEquals(
                        model.places.values().stream()
                                .filter(place -> place.address() != null)
                                .count(),
                        pool.addressCount(),
                        "after list " + i + " of seed " + seed);
            }
            pool.update(new EndpointList(LISTS, true, List.of()));
            assertEquals(0, pool.size() + pool.addressCount());
        }
    }
}
