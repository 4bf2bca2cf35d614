package martenlatch.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;

/** Makes a call of the head of a request, the same for every front, or says why it is none. */
public final class CallReader {

    /** How long the client waits, in whole milliseconds. */
    public static final String DEADLINE = "X-Deadline-Ms";
    /** What the request is told from others by. */
    public static final String ID = "X-Request-Id";
    /**
     * The part of the client's time, and its most, that is kept for the way there and back and for a delayed
     * event loop: a final answer that leaves when the time is up always comes late.
     */
    private static final double ANSWER_MARGIN_SHARE = 0.04;

    private static final double MAX_ANSWER_MARGIN_MS = 40;
    private static final String CLASS = "X-Class";
    private static final String TENANT = "X-Tenant";
    /** What a request is told by, which must not be open to two readings. */
    private static final List<String> ONCE_ONLY = List.of(ID, DEADLINE, CLASS, TENANT, "Idempotency-Key");

    /** A head as a protocol has it; names are matched without regard to case. */
    public interface Head {
        /** The method's name. */
        String method();

        /** The first value of a header, or null. */
        String first(String name);

        /** Whether a header is there more than once. */
        boolean repeated(String name);
    }

    /**
     * What a head is.
     *
     * @param request the call, or null
     * @param status the status to give up with where there is none
     * @param why the reason in words
     */
    public record Reading(Request request, int status, String why) {}

    private final Map<String, Integer> classes = new HashMap<>();
    private final Map<String, Integer> tenants = new HashMap<>();
    private final List<RequestClass> kinds;

    public CallReader(BalancerSettings settings) {
        kinds = settings.classes();
        kinds.forEach(kind -> classes.put(kind.name(), classes.size()));
        settings.tenants().forEach(tenant -> tenants.put(tenant.name(), tenants.size()));
    }

    /** Reads a head that has come at {@code now}; no call's deadline is later than {@code latest}. */
    public Reading read(Head head, double now, double latest) {
        String id = head.first(ID);
        Integer kind = classes.get(orEmpty(head.first(CLASS)));
        Integer tenant = tenants.isEmpty() ? Integer.valueOf(0) : tenants.get(orEmpty(head.first(TENANT)));
        long deadline = deadline(orEmpty(head.first(DEADLINE)));
        String method = head.method();
        if (!"GET".equals(method) && !"POST".equals(method)) {
            return new Reading(null, 405, "only GET and POST are served");
        }
        if (id == null || id.isEmpty()) {
            return bad(ID + " is missing");
        }
        for (String name : ONCE_ONLY) {
            if (head.repeated(name)) {
                return bad("one of " + ONCE_ONLY + " is repeated");
            }
        }
        if (kind == null) {
            return bad("X-Class is missing or unknown");
        }
        if (tenant == null) {
            return bad("X-Tenant is missing or unknown");
        }
        if (deadline < 0) {
            return bad(DEADLINE + " is no whole number");
        }
        // No client waits longer than its class may take, whatever it says.
        double allowed = Math.min(deadline, kinds.get(kind).deadlineMs());
        double until = now + allowed - Math.min(MAX_ANSWER_MARGIN_MS, allowed * ANSWER_MARGIN_SHARE);
        return new Reading(
                new Request(id, kind, tenant, Math.min(until, latest), "1".equals(head.first("X-Retry"))), 200, null);
    }

    private static Reading bad(String why) {
        return new Reading(null, 400, why);
    }

    private static String orEmpty(String value) {
        return value == null ? "" : value;
    }

    /** The milliseconds, or -1 for what is no whole number of a sane size. */
    private static long deadline(String text) {
        if (text.isEmpty() || text.length() > 9) {
            return -1;
        }
        long value = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return -1;
            }
            value = value * 10 + digit;
        }
        return value;
    }
}
