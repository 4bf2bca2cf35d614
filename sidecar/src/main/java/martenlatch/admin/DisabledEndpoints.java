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
 * Which endpoints the operators have taken out: by calls to this process, and by what another process of
 * the same sidecar has kept in the folder that both share. No I/O: changes to keep are numbered, and
 * whoever looks into the folder says up to which of them it had been written then.
 */
final class DisabledEndpoints {

    /** Endpoints remembered after they have left the list, so that a late call still finds them. */
    private static final int MOST_FORMER = 10_000;
    /** Endpoints out at once: far more than anyone takes out by hand, and a bound for the folder. */
    static final int MOST_OUT = 10_000;

    /** What becomes of a call. */
    enum Verdict {
        /** It is done, and the change is to be kept. */
        DONE,
        /** No list has ever named such an endpoint. */
        UNKNOWN,
        /** So many are out that no more are taken. */
        FULL
    }

    /** A change made here that the folder may not show yet, or never will. */
    private record Change(long number, boolean out) {}

    private final Set<String> listed = new HashSet<>();
    private final Map<String, Boolean> former = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_FORMER;
        }
    };
    private final Map<String, Change> changes = new HashMap<>();
    private Set<String> out = new TreeSet<>();
    private long number;

    /** A list has come. */
    void listed(boolean full, List<Endpoint> servers) {
        if (full) {
            listed.forEach(id -> former.put(id, true));
            listed.clear();
        }
        for (Endpoint server : servers) {
            if (server.status() == EndpointStatus.GONE) {
                if (listed.remove(server.id())) {
                    former.put(server.id(), true);
                }
            } else {
                listed.add(server.id());
                former.remove(server.id());
            }
        }
    }

    /** Takes an endpoint out, or puts it back; to do so again is no error. */
    Verdict set(String id, boolean outNow) {
        if (!listed.contains(id) && !former.containsKey(id) && !out.contains(id)) {
            return Verdict.UNKNOWN;
        }
        if (outNow && !out.contains(id) && out.size() >= MOST_OUT) {
            return Verdict.FULL;
        }
        changes.put(id, new Change(++number, outNow));
        if (outNow) {
            out.add(id);
        } else {
            out.remove(id);
            former.put(id, true);
        }
        return Verdict.DONE;
    }

    /** The number of the latest change. */
    long latest() {
        return number;
    }

    /** A change could not be kept: it holds in this process until the next call for that endpoint. */
    void notKept(String id, long changeNumber) {
        changes.computeIfPresent(
                id, (k, change) -> change.number == changeNumber ? new Change(Long.MAX_VALUE, change.out) : change);
    }

    /**
     * What the folder shows, changes up to {@code upTo} among it; later ones of this process go before it.
     * True if that makes a difference.
     */
    boolean shown(Set<String> kept, long upTo) {
        changes.values().removeIf(change -> change.number <= upTo);
        Set<String> now = new TreeSet<>(kept);
        changes.forEach((id, change) -> {
            if (change.out) {
                now.add(id);
            } else {
                now.remove(id);
            }
        });
        boolean changed = !now.equals(out);
        out = now;
        return changed;
    }

    /** Those that are out, by id. */
    Set<String> out() {
        return Collections.unmodifiableSet(out);
    }
}
