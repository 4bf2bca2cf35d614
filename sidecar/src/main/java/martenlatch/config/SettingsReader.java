package martenlatch.config;

import java.util.List;
import java.util.Map;
import martenlatch.policy.api.AttemptLimits;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.DeduplicationScope;
import martenlatch.policy.api.EndpointRules;
import martenlatch.policy.api.Idempotency;
import martenlatch.policy.api.RequestClass;
import martenlatch.policy.api.Tenant;

/** Reads {@link BalancerSettings} from the settings object of a configuration; ignores unknown fields. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the settings from an object that {@link JsonValues} has read.
     *
     * @throws ConfigurationException if a field is missing or invalid
     */
    public static BalancerSettings read(Map<String, Object> settings) {
        String weightKind = text(settings, "weight-kind", "silent");
        return new BalancerSettings(
                (int) number(settings, "replicas-of-me", 1),
                (int) number(settings, "slot-no", 0),
                (int) number(settings, "zone", 0),
                (int) number(settings, "tier", 0),
                text(settings, "membership-mode", "pushed").equals("on_request"),
                weightKind.equals("nominal") || weightKind.equals("rough"),
                number(settings, "over-share-worth", 1),
                number(object(settings, "prices"), "cross-zone", 0),
                objects(settings, "classes").stream()
                        .map(SettingsReader::requestClass)
                        .toList(),
                objects(settings, "projects").stream()
                        .map(SettingsReader::tenant)
                        .toList(),
                attemptLimits(object(settings, "limits")),
                endpointRules(object(settings, "rules")));
    }

    private static RequestClass requestClass(Map<String, Object> fields) {
        return new RequestClass(
                text(fields, "name", ""),
                requiredNumber(fields, "slo-ms"),
                requiredNumber(fields, "hard-limit-ms"),
                number(fields, "worth", 1),
                number(fields, "late-worth", 0),
                idempotency(text(fields, "effect", "once")),
                deduplicationScope(text(fields, "group", "all")),
                number(fields, "memory-span-ms", 0),
                flag(fields, "stream"));
    }

    private static Tenant tenant(Map<String, Object> fields) {
        return new Tenant(text(fields, "name", ""), number(fields, "allowance-per-s", 0), number(fields, "share", 0));
    }

    private static AttemptLimits attemptLimits(Map<String, Object> fields) {
        return new AttemptLimits(
                (int) number(fields, "try-limit", 1),
                flag(fields, "parallel-tries"),
                flag(fields, "cancel"),
                number(fields, "max-retry-after-ms", 0),
                number(fields, "dial-timeout-ms", 250));
    }

    private static EndpointRules endpointRules(Map<String, Object> fields) {
        return new EndpointRules(
                number(fields, "cold-share", 1),
                number(fields, "cold-ms", 0),
                number(fields, "tip-multiple", 1),
                number(fields, "fall-ms", 1000),
                number(fields, "drain-grace-ms", 0),
                number(fields, "ask-within-ms", 10_000));
    }

    private static Idempotency idempotency(String value) {
        return switch (value) {
            case "repeatable" -> Idempotency.IDEMPOTENT;
            case "by_key" -> Idempotency.IDEMPOTENCY_KEY;
            case "once" -> Idempotency.NON_IDEMPOTENT;
            default ->
                throw new ConfigurationException("classes[].effect", "setting classes[].effect is unknown: " + value);
        };
    }

    private static DeduplicationScope deduplicationScope(String value) {
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default ->
                throw new ConfigurationException("classes[].group", "setting classes[].group is unknown: " + value);
        };
    }

    private static double number(Map<String, Object> fields, String name, double defaultValue) {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw new ConfigurationException(name, "setting " + name + " should be a number but is " + value);
    }

    private static double requiredNumber(Map<String, Object> fields, String name) {
        if (fields.get(name) == null) {
            throw ConfigurationException.unusable("settings.classes[]." + name, null);
        }
        return number(fields, name, 0);
    }

    private static String text(Map<String, Object> fields, String name, String defaultValue) {
        Object value = fields.get(name);
        return value == null ? defaultValue : value.toString();
    }

    private static boolean flag(Map<String, Object> fields, String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> objects(Map<String, Object> fields, String name) {
        return fields.get(name) instanceof List<?> list ? (List<Map<String, Object>>) list : List.of();
    }
}
