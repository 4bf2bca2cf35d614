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

/** Compares the owners of addresses with a linear-search model over random lists that move endpoints. */
class EndpointAddressesTest {

    private static final int SEQUENCES = 1000;
    private static final int LISTS_PER_SEQUENCE = 40;
    private static final List<EndpointStatus> STATUSES = List.of(EndpointStatus.values());

    /** The expected start time and address of each endpoint. The address is null once another endpoint owns it. */
    private static final class Model {
        private record Registration(double startedMs, InetSocketAddress address) {}

        private final Map<String, Registration> registrations = new LinkedHashMap<>();

        void update(EndpointList list) {
            if (list.full()) {
                registrations
                        .keySet()
                        .removeIf(id -> list.entries().stream()
                                .noneMatch(entry -> entry.endpoint().id().equals(id)));
            }
            for (EndpointList.Entry entry : list.entries()) {
                String id = entry.endpoint().id();
                if (entry.endpoint().status() == EndpointStatus.GONE) {
                    registrations.remove(id);
                } else {
                    registrations.put(id, new Registration(entry.endpoint().startedMs(), entry.address()));
                    resolveAddressConflict(id);
                }
            }
        }

        private void resolveAddressConflict(String id) {
            Registration updated = registrations.get(id);
            for (Map.Entry<String, Registration> other : registrations.entrySet()) {
                if (!other.getKey().equals(id)
                        && updated.address().equals(other.getValue().address())) {
                    boolean isOlder = updated.startedMs() < other.getValue().startedMs();
                    registrations.computeIfPresent(
                            isOlder ? id : other.getKey(),
                            (k, registration) -> new Registration(registration.startedMs(), null));
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

    private EndpointPool createPool() {
        Scheduler fixedTimeScheduler = new Scheduler() {
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
                fixedTimeScheduler,
                new RateLimitedLogger(fixedTimeScheduler, new PrintStream(OutputStream.nullOutputStream())),
                100,
                1000,
                10);
    }

    private static EndpointList.Entry entry(int id, int port, double startedMs, EndpointStatus status) {
        return new EndpointList.Entry(
                new Endpoint("s" + id, 0, 0, 0, startedMs, status, 1),
                status == EndpointStatus.GONE ? null : InetSocketAddress.createUnresolved("e", port));
    }

    @Test
    void addressBelongsToAtMostOneEndpoint() {
        for (int seed = 0; seed < SEQUENCES; seed++) {
            Random random = new Random(seed);
            EndpointPool pool = createPool();
            Model model = new Model();
            for (int i = 0; i < LISTS_PER_SEQUENCE; i++) {
                List<EndpointList.Entry> entries = new ArrayList<>();
                for (int remaining = random.nextInt(4); remaining >= 0; remaining--) {
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
                    Model.Registration registration = model.registrations.get("s" + id);
                    assertEquals(
                            registration != null && registration.address() != null,
                            pool.hasAddress("s" + id),
                            "s" + id + " after list " + i + " of seed " + seed);
                }
                assertEquals(model.registrations.size(), pool.size());
                assertEquals(
                        model.registrations.values().stream()
                                .filter(registration -> registration.address() != null)
                                .count(),
                        pool.addressCount(),
                        "after list " + i + " of seed " + seed);
            }
            pool.update(new EndpointList(LISTS_PER_SEQUENCE, true, List.of()));
            assertEquals(0, pool.size() + pool.addressCount());
        }
    }
}
