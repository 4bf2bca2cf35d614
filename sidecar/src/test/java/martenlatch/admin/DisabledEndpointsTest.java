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

/** Tests the endpoints disabled by operators, as seen by two processes and their shared folder. */
class DisabledEndpointsTest {

    private static Endpoint endpoint(String id, EndpointStatus status) {
        return new Endpoint(id, 0, 0, 0, 0, status, 1);
    }

    private static DisabledEndpoints withListedIds(String... ids) {
        DisabledEndpoints disabledEndpoints = new DisabledEndpoints();
        disabledEndpoints.onEndpointList(
                true,
                List.of(ids).stream()
                        .map(id -> endpoint(id, EndpointStatus.READY))
                        .toList());
        return disabledEndpoints;
    }

    @Test
    void onlyListedEndpointsCanBeDisabled() {
        DisabledEndpoints endpoints = withListedIds("a", "b");
        assertEquals(Result.UNKNOWN, endpoints.set("c", true));
        assertEquals(Result.UNKNOWN, endpoints.set("c", false));
        assertEquals(Result.DONE, endpoints.set("a", true));
        assertEquals(Result.DONE, endpoints.set("a", true), "disabling an endpoint twice is not an error");
        assertEquals(Result.DONE, endpoints.set("b", false), "enabling an enabled endpoint is not an error");
        assertEquals(Set.of("a"), endpoints.ids());
        endpoints.onEndpointList(
                false, List.of(endpoint("a", EndpointStatus.GONE), endpoint("b", EndpointStatus.GONE)));
        assertEquals(Result.DONE, endpoints.set("b", true), "the endpoint was in an earlier list");
        endpoints.onEndpointList(true, List.of());
        assertEquals(Result.DONE, endpoints.set("a", false), "a call enables an endpoint that is not in the list");
        assertEquals(Set.of("b"), endpoints.ids());
    }

    /** Guards against a folder read from before a call that temporarily reverts the call. */
    @Test
    void staleFolderReadDoesNotRevertCall() {
        DisabledEndpoints endpoints = withListedIds("a");
        endpoints.set("a", true);
        assertFalse(endpoints.onFolderRead(Set.of(), 0), "the folder was read before the file was created");
        assertEquals(Set.of("a"), endpoints.ids());
        assertFalse(endpoints.onFolderRead(Set.of("a"), 1));
        assertTrue(endpoints.onFolderRead(Set.of(), 1), "the other process has enabled it since");
        assertEquals(Set.of(), endpoints.ids());
    }

    @Test
    void changeThatCannotBeStoredStaysInEffectInThisProcess() {
        DisabledEndpoints endpoints = withListedIds("a", "b");
        endpoints.set("a", true);
        endpoints.onStoreFailed("a", endpoints.latestChangeNumber());
        endpoints.onFolderRead(Set.of("b"), 9);
        assertEquals(Set.of("a", "b"), endpoints.ids());
        endpoints.set("a", false);
        endpoints.onFolderRead(Set.of("b"), endpoints.latestChangeNumber());
        assertEquals(Set.of("b"), endpoints.ids());
    }

    @Test
    void numberOfRememberedIdsIsBounded() {
        DisabledEndpoints endpoints = new DisabledEndpoints();
        for (int i = 0; i < 30_000; i++) {
            endpoints.onEndpointList(true, List.of(endpoint("s" + i, EndpointStatus.READY)));
        }
        assertEquals(Result.UNKNOWN, endpoints.set("s0", true), "the oldest ids are forgotten");
        assertEquals(Result.DONE, endpoints.set("s25000", true));
        List<Endpoint> endpointList = new ArrayList<>();
        for (int i = 0; i <= DisabledEndpoints.MAX_DISABLED; i++) {
            endpointList.add(endpoint("m" + i, EndpointStatus.READY));
        }
        endpoints.onEndpointList(true, endpointList);
        Result lastResult = Result.DONE;
        for (int i = 0; i <= DisabledEndpoints.MAX_DISABLED; i++) {
            lastResult = endpoints.set("m" + i, true);
        }
        assertEquals(Result.FULL, lastResult);
        assertEquals(DisabledEndpoints.MAX_DISABLED, endpoints.ids().size());
    }

    /** Applies random calls, writes and folder reads to two processes; in the end both must agree with the folder. */
    @Test
    void twoProcessesConverge() {
        for (int seed = 0; seed < 2000; seed++) {
            Random random = new Random(seed);
            Set<String> folder = new HashSet<>();
            List<DisabledEndpoints> processes = List.of(withListedIds("a", "b", "c"), withListedIds("a", "b", "c"));
            List<Deque<Write>> pendingWrites = List.of(new ArrayDeque<>(), new ArrayDeque<>());
            long[] lastWrittenChanges = new long[2];
            for (int step = 0; step < 60; step++) {
                int processIndex = random.nextInt(2);
                DisabledEndpoints process = processes.get(processIndex);
                switch (random.nextInt(3)) {
                    case 0 -> {
                        String id = "" + (char) ('a' + random.nextInt(3));
                        boolean disable = random.nextBoolean();
                        process.set(id, disable);
                        pendingWrites.get(processIndex).add(new Write(id, disable, process.latestChangeNumber()));
                        assertEquals(disable, process.ids().contains(id), "a call takes effect at once");
                    }
                    case 1 -> write(folder, pendingWrites.get(processIndex).poll(), processIndex, lastWrittenChanges);
                    default -> process.onFolderRead(folder, lastWrittenChanges[processIndex]);
                }
            }
            for (int processIndex = 0; processIndex < 2; processIndex++) {
                while (!pendingWrites.get(processIndex).isEmpty()) {
                    write(folder, pendingWrites.get(processIndex).poll(), processIndex, lastWrittenChanges);
                }
            }
            for (int processIndex = 0; processIndex < 2; processIndex++) {
                processes.get(processIndex).onFolderRead(folder, lastWrittenChanges[processIndex]);
                assertEquals(folder, processes.get(processIndex).ids(), "seed " + seed);
            }
        }
    }

    private record Write(String id, boolean disable, long number) {}

    private static void write(Set<String> folder, Write write, int processIndex, long[] lastWrittenChanges) {
        if (write == null) {
            return;
        }
        if (write.disable()) {
            folder.add(write.id());
        } else {
            folder.remove(write.id());
        }
        lastWrittenChanges[processIndex] = write.number();
    }
}
