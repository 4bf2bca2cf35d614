package martenlatch.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;

/** Turns the wire's settings object into {@link BalancerSettings}; what it does not know it passes over. */
public final class SettingsReader {

    private SettingsReader() {}

    /** Reads any JSON value: objects as maps, arrays as lists. */
    public static Object value(JsonParser in) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                map.put(name, value(in));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                list.add(value(in));
            }
            return list;
        }
        if (token.isNumeric()) {
            return in.getDoubleValue();
        }
        return token == JsonToken.VALUE_NULL ? null : token.isBoolean() ? (Object) in.getBooleanValue() : in.getText();
    }

    /** The settings that the decisions need, from the object as {@link #value} reads it. */
    public static BalancerSettings settings(Map<String, Object> p) {
        List<RequestClass> classes = new ArrayList<>();
        for (Map<String, Object> c : maps(p, "classes")) {
            classes.add(new RequestClass(
                    text(c, "name", ""),
                    needed(c, "slo-ms"),
                    needed(c, "hard-limit-ms"),
                    number(c, "worth", 1),
                    number(c, "late-worth", 0),
                    effect(text(c, "effect", "once")),
                    group(text(c, "group", "all")),
                    number(c, "memory-span-ms", 0),
                    flag(c, "stream")));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Map<String, Object> t : maps(p, "projects")) {
            tenants.add(new Tenant(text(t, "name", ""), number(t, "allowance-per-s", 0), number(t, "share", 0)));
        }
        Map<String, Object> l = map(p, "limits");
        AttemptLimits limits = new AttemptLimits(
                (int) number(l, "try-limit", 1),
                flag(l, "parallel-tries"),
                flag(l, "cancel"),
                number(l, "max-retry-after-ms", 0),
                number(l, "dial-timeout-ms", 250));
        Map<String, Object> r = map(p, "rules");
        EndpointRules rules = new EndpointRules(
                number(r, "cold-share", 1),
                number(r, "cold-ms", 0),
                number(r, "tip-multiple", 1),
                number(r, "fall-ms", 1000),
                number(r, "drain-grace-ms", 0),
                number(r, "ask-within-ms", 10_000));
        String weights = text(p, "weight-kind", "silent");
        return new BalancerSettings(
                (int) number(p, "replicas-of-me", 1),
                (int) number(p, "slot-no", 0),
                (int) number(p, "zone", 0),
                (int) number(p, "tier", 0),
                text(p, "membership-mode", "pushed").equals("on_request"),
                weights.equals("nominal") || weights.equals("rough"),
                number(p, "over-share-worth", 1),
                number(map(p, "prices"), "cross-zone", 0),
                classes,
                tenants,
                limits,
                rules);
    }

    private static Idempotency effect(String word) {
        return switch (word) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("setting classes[].effect is unknown: " + word);
        };
    }

    private static DeduplicationScope group(String word) {
        return switch (word) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new IllegalArgumentException("setting classes[].group is unknown: " + word);
        };
    }

    private static double number(Map<String, Object> from, String name, double absent) {
        Object value = from.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new IllegalArgumentException("setting " + name + " should be a number but is " + value);
    }

    private static double needed(Map<String, Object> from, String name) {
        if (from.get(name) == null) {
            throw Fields.bad("settings.classes[]." + name, null);
        }
        return number(from, name, 0);
    }

    private static String text(Map<String, Object> from, String name, String absent) {
        Object value = from.get(name);
        return value == null ? absent : value.toString();
    }

    private static boolean flag(Map<String, Object> from, String name) {
        return Boolean.TRUE.equals(from.get(name));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> map(Map<String, Object> from, String name) {
        return from.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> maps(Map<String, Object> from, String name) {
        return from.get(name) instanceof List<?> list ? (List<Map<String, Object>>) list : List.of();
    }
}
