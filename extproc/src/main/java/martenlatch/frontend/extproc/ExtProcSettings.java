package martenlatch.frontend.extproc;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Set;
import martenlatch.config.ConfigurationException;
import martenlatch.config.SocketAddresses;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.RequestClass;

/**
 * The external processor's own settings, read from a TOML file.
 *
 * @param listen the address on which the server listens for proxies
 * @param maxStreams the maximum number of open streams; further ones are rejected
 * @param idleTimeoutMs how long a stream may be silent before its request, and after its attempt has timed out
 * @param nextStreamMs how long the next attempt of a request waits for the proxy to open a stream for it
 * @param rememberMs how long a request that may have executed is remembered after its end
 * @param maxRememberedRequests the maximum number of remembered requests, including those in flight
 * @param messageTimeoutMs the proxy's time limit for a message of the processor, as it is configured there
 * @param connectTimeoutMs the proxy's time limit for a connect to an endpoint, as it is configured there
 */
public record ExtProcSettings(
        InetSocketAddress listen,
        int maxStreams,
        double idleTimeoutMs,
        double nextStreamMs,
        double rememberMs,
        int maxRememberedRequests,
        double messageTimeoutMs,
        double connectTimeoutMs) {

    /** The part of the drain grace period that is reserved for scheduling delays on a busy machine. */
    static final double SCHEDULING_SLACK_MS = 50;

    private static final Set<String> FIELDS = Set.of(
            "listen", "max-streams", "silence-ms", "next-consultation-ms", "remember-ms", "remember-most", "proxy");
    private static final Set<String> PROXY_FIELDS = Set.of("message-timeout-ms", "connect-timeout-ms");

    /** Reads the file; the exception for a missing, unknown or invalid field names the field and its value. */
    public static ExtProcSettings read(Path file) throws IOException {
        try {
            return of(new TomlMapper().readTree(Files.readAllBytes(file)));
        } catch (NoSuchFileException e) {
            throw new ConfigurationException("SETTINGS", "the settings file is not there: " + file);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("SETTINGS", file + " is not TOML: " + e.getOriginalMessage());
        }
    }

    private static ExtProcSettings of(JsonNode file) {
        requireKnownFields("", file, FIELDS);
        JsonNode proxy = file.path("proxy");
        requireKnownFields("proxy.", proxy, PROXY_FIELDS);
        return new ExtProcSettings(
                SocketAddresses.parse("listen", file.path("listen").textValue()),
                parseWholeNumber("max-streams", file.path("max-streams"), 1, 100_000),
                parseWholeNumber("silence-ms", file.path("silence-ms"), 10, 60_000),
                parseWholeNumber("next-consultation-ms", file.path("next-consultation-ms"), 1, 10_000),
                parseWholeNumber("remember-ms", file.path("remember-ms"), 1, 600_000),
                parseWholeNumber("remember-most", file.path("remember-most"), 1, 10_000_000),
                parseWholeNumber("proxy.message-timeout-ms", proxy.path("message-timeout-ms"), 1, 10_000),
                parseWholeNumber("proxy.connect-timeout-ms", proxy.path("connect-timeout-ms"), 1, 10_000));
    }

    private static void requireKnownFields(String prefix, JsonNode object, Set<String> names) {
        for (Iterator<String> fields = object.fieldNames(); fields.hasNext(); ) {
            String field = fields.next();
            if (!names.contains(field)) {
                throw new ConfigurationException(
                        prefix + field,
                        "field " + prefix + field + " is unknown; there are "
                                + names.stream().sorted().toList());
            }
        }
    }

    private static int parseWholeNumber(String field, JsonNode value, int min, int max) {
        if (value.isMissingNode()) {
            throw ConfigurationException.unusable(field, null);
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < min || value.intValue() > max) {
            throw new ConfigurationException(
                    field,
                    "field " + field + " is not usable: " + value + "; it must be a whole number from " + min + " to "
                            + max);
        }
        return value.intValue();
    }

    /** Returns a copy of these settings with another listen address. */
    public ExtProcSettings withListen(InetSocketAddress address) {
        return new ExtProcSettings(
                address,
                maxStreams,
                idleTimeoutMs,
                nextStreamMs,
                rememberMs,
                maxRememberedRequests,
                messageTimeoutMs,
                connectTimeoutMs);
    }

    /**
     * Checks these settings against those of the load balancer.
     *
     * @throws ConfigurationException if a proxy could send an attempt to a draining endpoint after the drain grace
     *     period, or if a request that must not be repeated could be forgotten while a proxy may still retry it
     */
    public ExtProcSettings requireValidWith(BalancerSettings balancerSettings) {
        double drainGraceMs = balancerSettings.rules().drainGraceMs();
        double maxDecisionAgeMs = messageTimeoutMs + connectTimeoutMs + SCHEDULING_SLACK_MS;
        if (maxDecisionAgeMs > drainGraceMs) {
            throw new ConfigurationException(
                    "proxy.message-timeout-ms",
                    "field proxy.message-timeout-ms is not usable: "
                            + Math.round(messageTimeoutMs) + "; with proxy.connect-timeout-ms ("
                            + Math.round(connectTimeoutMs) + ") and " + Math.round(SCHEDULING_SLACK_MS)
                            + " for a busy machine it must stay within the drain's grace of "
                            + Math.round(drainGraceMs));
        }
        double longestDeadlineMs = 0;
        for (RequestClass requestClass : balancerSettings.classes()) {
            longestDeadlineMs = Math.max(longestDeadlineMs, requestClass.deadlineMs());
        }
        if (rememberMs < longestDeadlineMs) {
            throw new ConfigurationException(
                    "remember-ms",
                    "field remember-ms is not usable: " + Math.round(rememberMs)
                            + "; it must be at least the longest deadline of a class, "
                            + Math.round(longestDeadlineMs));
        }
        return this;
    }
}
