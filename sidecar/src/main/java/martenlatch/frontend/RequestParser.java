package martenlatch.frontend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.Request;
import martenlatch.policy.api.RequestClass;

/** Parses the head of a request; used by all frontends. */
public final class RequestParser {

    /** The header with the time that the client waits for a response, in whole milliseconds. */
    public static final String DEADLINE_HEADER = "X-Deadline-Ms";
    /** The header with the id of the request. */
    public static final String REQUEST_ID_HEADER = "X-Request-Id";

    private static final String CLASS_HEADER = "X-Class";
    private static final String TENANT_HEADER = "X-Tenant";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String RETRY_HEADER = "X-Retry";
    /** The headers that identify and classify a request; repeated values would be ambiguous and are rejected. */
    private static final List<String> SINGLE_VALUE_HEADERS =
            List.of(REQUEST_ID_HEADER, DEADLINE_HEADER, CLASS_HEADER, TENANT_HEADER, IDEMPOTENCY_KEY_HEADER);

    private static final String REPEATED_HEADER_MESSAGE = "one of " + SINGLE_VALUE_HEADERS + " is repeated";

    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int MAX_DEADLINE_DIGITS = 9;
    /**
     * The share of the client's waiting time that is reserved for network latency and a delayed event loop. A final
     * response that is written only when the time is up always arrives too late.
     */
    private static final double RESPONSE_MARGIN_SHARE = 0.04;

    private static final double MAX_RESPONSE_MARGIN_MS = 40;
    /** The share of that margin within which a response that is arriving from an endpoint is waited for. */
    private static final double ANSWER_SLACK_SHARE = 0.5;

    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final Map<String, Integer> tenantIndexes = new HashMap<>();
    private final List<RequestClass> classes;

    /** Creates a parser for the classes and tenants of these settings. */
    public RequestParser(BalancerSettings settings) {
        classes = settings.classes();
        classes.forEach(requestClass -> classIndexes.put(requestClass.name(), classIndexes.size()));
        settings.tenants().forEach(tenant -> tenantIndexes.put(tenant.name(), tenantIndexes.size()));
    }

    /**
     * Parses the head of a request.
     *
     * @param nowMs the arrival time of the request
     * @param maxDeadlineMs the latest deadline that the request may have
     * @throws InvalidRequestException if the request cannot be accepted
     */
    public Request parse(RequestHead head, double nowMs, double maxDeadlineMs) throws InvalidRequestException {
        String method = head.method();
        if (!"GET".equals(method) && !"POST".equals(method)) {
            throw new InvalidRequestException(METHOD_NOT_ALLOWED, "only GET and POST are served");
        }
        String id = head.first(REQUEST_ID_HEADER);
        require(id != null && !id.isEmpty(), REQUEST_ID_HEADER + " is missing");
        for (String name : SINGLE_VALUE_HEADERS) {
            require(!head.isRepeated(name), REPEATED_HEADER_MESSAGE);
        }
        Integer classIndex = classIndexes.get(emptyIfNull(head.first(CLASS_HEADER)));
        require(classIndex != null, "X-Class is missing or unknown");
        Integer tenantIndex = tenantIndexes.isEmpty()
                ? Integer.valueOf(0)
                : tenantIndexes.get(emptyIfNull(head.first(TENANT_HEADER)));
        require(tenantIndex != null, "X-Tenant is missing or unknown");
        long requestedMs = parseWholeNumber(emptyIfNull(head.first(DEADLINE_HEADER)));
        require(requestedMs >= 0, DEADLINE_HEADER + " is no whole number");
        // The deadline of the request class limits the time that the client requests.
        double allowedMs =
                Math.min((double) requestedMs, classes.get(classIndex).deadlineMs());
        double marginMs = Math.min(MAX_RESPONSE_MARGIN_MS, allowedMs * RESPONSE_MARGIN_SHARE);
        double deadlineMs = Math.min(nowMs + allowedMs - marginMs, maxDeadlineMs);
        boolean clientRetry = "1".equals(head.first(RETRY_HEADER));
        return new Request(id, classIndex, tenantIndex, deadlineMs, marginMs * ANSWER_SLACK_SHARE, clientRetry);
    }

    private static void require(boolean condition, String message) throws InvalidRequestException {
        if (!condition) {
            throw new InvalidRequestException(BAD_REQUEST, message);
        }
    }

    private static String emptyIfNull(String value) {
        return value == null ? "" : value;
    }

    /** Returns the value of a decimal number, or -1 if the text is not one or exceeds {@link #MAX_DEADLINE_DIGITS}. */
    private static long parseWholeNumber(String text) {
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
