package martenlatch.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import martenlatch.admin.DisabledEndpoints.Result;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import org.junit.jupiter.api.Test;

/** What is out by hand, as two processes and the folder they share see it. */
class DisabledEndpointsTest {

    private static Endpoint server(String id, EndpointStatus state) {
        return new Endpoint(id, 0, 0, 0, 0, state, 1);
    }

    private static DisabledEndpoints knowing(String... ids) {
        DisabledEndpoints made = new DisabledEndpoints();
        made.onEndpointList(
                true,
                List.of(ids).stream()
                        .map(id -> server(id, EndpointStatus.READY))
                        .toList());
        return made;
    }

    @Test
    void onlyWhatAListHasNamedCanBeTakenOut() {
        DisabledEndpoints endpoints = knowing("a", "b");
        assertEquals(Result.UNKNOWN, endpoints.set("c", true));
        assertEquals(Result.UNKNOWN, endpoints.set("c", false));
        assertEquals(Result.DONE, endpoints.set("a", true));
        assertEquals(Result.DONE, endpoints.set("a", true), "again is no error");
        assertEquals(Result.DONE, endpoints.set("b", false), "nor is putting back what is in");
        assertEquals(Set.of("a"), endpoints.ids());
        endpoints.onEndpointList(false, List.of(server("a", EndpointStatus.GONE), server("b", EndpointStatus.GONE)));
        assertEquals(Result.DONE, endpoints.set("b", true), "it was listed once");
        endpoints.onEndpointList(true, List.of());
        assertEquals(Result.DONE, endpoints.set("a", false), "one call back ends it, listed or not");
        assertEquals(Set.of("b"), endpoints.ids());
    }

    /** Guards against a look into the folder from before a call, which would undo the call for a while. */
    @Test
    void anOldLookUndoesNoCall() {
        DisabledEndpoints endpoints = knowing("a");
        endpoints.set("a", true);
        assertFalse(endpoints.onFolderRead(Set.of(), 0), "looked at before the file was made");
        assertEquals(Set.of("a"), endpoints.ids());
        assertFalse(endpoints.onFolderRead(Set.of("a"), 1));
        assertTrue(endpoints.onFolderRead(Set.of(), 1), "the other process has put it back since");
        assertEquals(Set.of(), endpoints.ids());
    }

    @Test
    void aCallThatCannotBeKeptHoldsInThisProcess() {
        DisabledEndpoints endpoints = knowing("a", "b");
        endpoints.set("a", true);
        endpoints.onStoreFailed("a", endpoints.latestChangeNumber());
        endpoints.onFolderRead(Set.of("b"), 9);
        assertEquals(Set.of("a", "b"), endpoints.ids());
        endpoints.set("a", false);
        endpoints.onFolderRead(Set.of("b"), endpoints.latestChangeNumber());
        assertEquals(Set.of("b"), endpoints.ids());
    }

    @Test
    void tablesAreBounded() {
        DisabledEndpoints endpoints = new DisabledEndpoints();
        for (int i = 0; i < 30_000; i++) {
            endpoints.onEndpointList(true, List.of(server("s" + i, EndpointStatus.READY)));
        }
        assertEquals(Result.UNKNOWN, endpoints.set("s0", true), "the oldest are forgotten");
        assertEquals(Result.DONE, endpoints.set("s25000", true));
        List<Endpoint> many = new ArrayList<>();
        for (int i = 0; i <= DisabledEndpoints.MAX_DISABLED; i++) {
            many.add(server("m" + i, EndpointStatus.READY));
        }
        endpoints.onEndpointList(true, many);
        Result last = Result.DONE;
        for (int i = 0; i <= DisabledEndpoints.MAX_DISABLED; i++) {
            last = endpoints.set("m" + i, true);
        }
        assertEquals(Result.FULL, last);
        assertEquals(DisabledEndpoints.MAX_DISABLED, endpoints.ids().size());
    }

    /**
     * Two processes, calls to either, writes and looks at any time: in the end both agree with the folder.
     */
    @Test
    void twoProcessesAgreeInTheEnd() {
        for (int seed = 0; seed < 2000; seed++) {
            Random random = new Random(seed);
            Set<String> folder = new HashSet<>();
            List<DisabledEndpoints> both = List.of(knowing("a", "b", "c"), knowing("a", "b", "c"));
            List<Deque<Write>> waiting = List.of(new ArrayDeque<>(), new ArrayDeque<>());
            long[] written = new long[2];
            for (int step = 0; step < 60; step++) {
                int which = random.nextInt(2);
                DisabledEndpoints one = both.get(which);
                switch (random.nextInt(3)) {
                    case 0 -> {
                        String id = "" + (char) ('a' + random.nextInt(3));
                        boolean out = random.nextBoolean();
                        one.set(id, out);
                        waiting.get(which).add(new Write(id, out, one.latestChangeNumber()));
                        assertEquals(out, one.ids().contains(id), "a call holds at once");
                    }
                    case 1 -> write(folder, waiting.get(which).poll(), which, written);
                    default -> one.onFolderRead(folder, written[which]);
                }
            }
            for (int which = 0; which < 2; which++) {
                while (!waiting.get(which).isEmpty()) {
                    write(folder, waiting.get(which).poll(), which, written);
                }
            }
            for (int which = 0; which < 2; which++) {
                both.get(which).onFolderRead(folder, written[which]);
                assertEquals(folder, both.get(which).ids(), "seed " + seed);
            }
        }
    }

    private record Write(String id, boolean out, long number) {}

    private static void write(Set<String> folder, Write next, int which, long[] written) {
        if (next == null) {
            return;
        }
        if (next.out()) {
            folder.add(next.id());
        } else {
            folder.remove(next.id());
        }
        written[which] = next.number();
    }
}
