package martenlatch.admin;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;

/**
 * The endpoints that operators have disabled, either by calls to this process or by calls to another process of the
 * same sidecar, which are read from the shared folder. This class does no I/O. It numbers its changes, and the reader
 * of the folder passes the number of the last change that had been written before the folder was read.
 */
final class DisabledEndpoints {

    /** The number of endpoints remembered after they have left the list, so that a late call still finds them. */
    private static final int MAX_FORMER_IDS = 10_000;
    /** The maximum number of disabled endpoints: far more than operators disable, it bounds the size of the folder. */
    static final int MAX_DISABLED = 10_000;

    /** The outcome of a change. */
    enum Result {
        /** The change is in effect and has to be stored. */
        DONE,
        /** No endpoint list has ever contained the endpoint. */
        UNKNOWN,
        /** The maximum number of endpoints is already disabled. */
        FULL
    }

    /** A change made in this process that may not be in the shared folder yet, or never will be. */
    private record Change(long number, boolean disabled) {}

    /** The number of a change that could not be stored: higher than that of any written change. */
    private static final long NEVER_STORED = Long.MAX_VALUE;

    /** The ids in the current endpoint list. */
    private final Set<String> listedIds = new HashSet<>();
    /** A bounded set of ids that are not in the current endpoint list, oldest first; the values are unused. */
    private final Map<String, Boolean> formerIds = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_FORMER_IDS;
        }
    };
    /** The changes of this process that have not been seen as written to the shared folder, by endpoint id. */
    private final Map<String, Change> unwrittenChanges = new HashMap<>();

    private Set<String> disabled = new TreeSet<>();
    private long latestChangeNumber;

    /** Called when an endpoint list has been received. */
    void onEndpointList(boolean full, List<Endpoint> endpoints) {
        if (full) {
            listedIds.forEach(id -> formerIds.put(id, true));
            listedIds.clear();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.status() != EndpointStatus.GONE) {
                listedIds.add(endpoint.id());
                formerIds.remove(endpoint.id());
            } else if (listedIds.remove(endpoint.id())) {
                formerIds.put(endpoint.id(), true);
            }
        }
    }

    /** Disables or enables an endpoint; repeating a change is not an error. */
    Result set(String id, boolean disable) {
        if (!listedIds.contains(id) && !formerIds.containsKey(id) && !disabled.contains(id)) {
            return Result.UNKNOWN;
        }
        if (disable && !disabled.contains(id) && disabled.size() >= MAX_DISABLED) {
            return Result.FULL;
        }
        unwrittenChanges.put(id, new Change(++latestChangeNumber, disable));
        if (disable) {
            disabled.add(id);
        } else {
            disabled.remove(id);
            formerIds.put(id, true);
        }
        return Result.DONE;
    }

    /** Returns the number of the latest change. */
    long latestChangeNumber() {
        return latestChangeNumber;
    }

    /**
     * Called when a change could not be stored; it stays in effect in this process until that endpoint changes again.
     */
    void onStoreFailed(String id, long changeNumber) {
        unwrittenChanges.computeIfPresent(
                id, (k, change) -> change.number == changeNumber ? new Change(NEVER_STORED, change.disabled) : change);
    }

    /**
     * Replaces the disabled endpoints with the content of the shared folder, which includes all changes up to {@code
     * lastWrittenChange} except those that could not be stored. These and later changes of this process take
     * precedence. Returns whether the disabled endpoints changed.
     */
    boolean onFolderRead(Set<String> storedIds, long lastWrittenChange) {
        unwrittenChanges.values().removeIf(change -> change.number <= lastWrittenChange);
        Set<String> next = new TreeSet<>(storedIds);
        unwrittenChanges.forEach((id, change) -> {
            if (change.disabled) {
                next.add(id);
            } else {
                next.remove(id);
            }
        });
        boolean changed = !next.equals(disabled);
        disabled = next;
        return changed;
    }

    /** Returns the ids of the disabled endpoints, sorted. */
    Set<String> ids() {
        return Collections.unmodifiableSet(disabled);
    }
}
