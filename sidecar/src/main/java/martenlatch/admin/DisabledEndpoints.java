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
 * Which endpoints the operators have disabled: by calls to this process, and by what another process of the same
 * sidecar has stored in the shared folder. No I/O: changes are numbered, and whoever reads the folder tells up to
 * which of them had been written by then.
 */
final class DisabledEndpoints {

    /** Endpoints remembered after they have left the list, so that a late call still finds them. */
    private static final int MAX_FORMER = 10_000;
    /** Endpoints disabled at once: far more than anyone disables by hand, and a bound for the folder. */
    static final int MAX_DISABLED = 10_000;

    /** What becomes of a call. */
    enum Result {
        /** It is done, and the change is to be stored. */
        DONE,
        /** No list has ever named such an endpoint. */
        UNKNOWN,
        /** So many are disabled that no more are accepted. */
        FULL
    }

    /** A change made in this process that the folder may not show yet, or never will. */
    private record Change(long number, boolean disabled) {}

    private static final long NEVER_STORED = Long.MAX_VALUE;

    private final Set<String> listed = new HashSet<>();
    private final Map<String, Boolean> former = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_FORMER;
        }
    };
    private final Map<String, Change> changes = new HashMap<>();
    private Set<String> disabled = new TreeSet<>();
    private long latestChange;

    /** An endpoint list has been received. */
    void onEndpointList(boolean full, List<Endpoint> endpoints) {
        if (full) {
            listed.forEach(id -> former.put(id, true));
            listed.clear();
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.status() != EndpointStatus.GONE) {
                listed.add(endpoint.id());
                former.remove(endpoint.id());
            } else if (listed.remove(endpoint.id())) {
                former.put(endpoint.id(), true);
            }
        }
    }

    /** Disables or enables an endpoint; to repeat that is no error. */
    Result set(String id, boolean disable) {
        if (!listed.contains(id) && !former.containsKey(id) && !disabled.contains(id)) {
            return Result.UNKNOWN;
        }
        if (disable && !disabled.contains(id) && disabled.size() >= MAX_DISABLED) {
            return Result.FULL;
        }
        changes.put(id, new Change(++latestChange, disable));
        if (disable) {
            disabled.add(id);
        } else {
            disabled.remove(id);
            former.put(id, true);
        }
        return Result.DONE;
    }

    /** The number of the latest change. */
    long latestChange() {
        return latestChange;
    }

    /** A change could not be stored: it holds in this process until the next call for that endpoint. */
    void onNotStored(String id, long changeNumber) {
        changes.computeIfPresent(
                id, (k, change) -> change.number == changeNumber ? new Change(NEVER_STORED, change.disabled) : change);
    }

    /**
     * Takes over what the folder shows, with all changes up to {@code upTo} in it; later changes of this process take
     * precedence. True if that makes a difference.
     */
    boolean onStored(Set<String> stored, long upTo) {
        changes.values().removeIf(change -> change.number <= upTo);
        Set<String> next = new TreeSet<>(stored);
        changes.forEach((id, change) -> {
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

    /** The ids of the disabled endpoints, in order. */
    Set<String> ids() {
        return Collections.unmodifiableSet(disabled);
    }
}
