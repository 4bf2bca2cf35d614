package martenlatch.frontend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;

/** Parses the head of a request, the same for every frontend. */
public final class RequestParser {

    /** How long the client waits, in whole milliseconds. */
    public static final String DEADLINE_HEADER = "X-Deadline-Ms";
    /** The id of the request. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final String CLASS = "X-Class";
    private static final String TENANT = "X-Tenant";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String RETRY = "X-Retry";
    /** What identifies and classifies a request must not be open to two readings. */
    private static final List<String> AT_MOST_ONCE =
            List.of(REQUEST_ID_HEADER, DEADLINE_HEADER, CLASS, TENANT, IDEMPOTENCY_KEY);

    private static final String REPEATED = "one of " + AT_MOST_ONCE + " is repeated";

    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int MAX_DEADLINE_DIGITS = 9;
    /**
     * The share of the client's time that is reserved for the way there and back and for a delayed event loop: a final
     * response that is written when the time is up always arrives late.
     */
    private static final double ANSWER_MARGIN_SHARE = 0.04;

    private static final double MAX_ANSWER_MARGIN_MS = 40;

    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();
    private final List<RequestClass> classes;

    /** Creates a parser for the classes and tenants of these settings. */
    public RequestParser(BalancerSettings settings) {
        classes = settings.classes();
        classes.forEach(each -> classIndexes.put(each.name(), classIndexes.size()));
        settings.tenants().forEach(tenant -> tenantIndexes.put(tenant.name(), tenantIndexes.size()));
    }

    /**
     * Parses the head of a request.
     *
     * @param nowMs the time at which it arrived, in milliseconds
     * @param maxDeadlineMs no deadline is later than this time
     * @throws InvalidRequestException if the request cannot be accepted
     */
    public Request parse(RequestHead head, double nowMs, double maxDeadlineMs) throws InvalidRequestException {
        String method = head.method();
        if (!"GET".equals(method) && !"POST".equals(method)) {
            throw new InvalidRequestException(METHOD_NOT_ALLOWED, "only GET and POST are served");
        }
        String id = head.first(REQUEST_ID_HEADER);
        require(id != null && !id.isEmpty(), REQUEST_ID_HEADER + " is missing");
        for (String name : AT_MOST_ONCE) {
            require(!head.isRepeated(name), REPEATED);
        }
        Integer classIndex = classIndexes.get(emptyIfNull(head.first(CLASS)));
        require(classIndex != null, "X-Class is missing or unknown");
        Integer tenantIndex =
                tenantIndexes.isEmpty() ? Integer.valueOf(0) : tenantIndexes.get(emptyIfNull(head.first(TENANT)));
        require(tenantIndex != null, "X-Tenant is missing or unknown");
        long waitsMs = wholeNumber(emptyIfNull(head.first(DEADLINE_HEADER)));
        require(waitsMs >= 0, DEADLINE_HEADER + " is no whole number");
        // No client waits longer than its class allows, whatever it says.
        double allowedMs = Math.min((double) waitsMs, classes.get(classIndex).deadlineMs());
        double marginMs = Math.min(MAX_ANSWER_MARGIN_MS, allowedMs * ANSWER_MARGIN_SHARE);
        double deadlineMs = Math.min(nowMs + allowedMs - marginMs, maxDeadlineMs);
        return new Request(id, classIndex, tenantIndex, deadlineMs, "1".equals(head.first(RETRY)));
    }

    private static void require(boolean condition, String message) throws InvalidRequestException {
        if (!condition) {
            throw new InvalidRequestException(BAD_REQUEST, message);
        }
    }

    private static String emptyIfNull(String value) {
        return value == null ? "" : value;
    }

    /** The number, or -1 for what is no whole number of a sensible size. */
    private static long wholeNumber(String text) {
        if (text.isEmpty() || text.length() > MAX_DEADLINE_DIGITS) {
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
