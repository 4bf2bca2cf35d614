package martenlatch.front.extproc;

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
import martenlatch.config.Fields;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.RequestClass;

/**
 * The external processor's own settings, from a TOML file; all times are milliseconds.
 *
 * @param listen where proxies connect
 * @param mostStreams consultations that may be open at once; more are turned away
 * @param silenceMs how long a stream may stand with nothing said, and an answered one until it ends
 * @param nextMs how long the next attempt waits for its consultation
 * @param rememberMs for how long after its end a request that may have run is remembered
 * @param rememberMost how many requests are remembered, open ones among them
 * @param messageTimeoutMs the proxy's time limit for one of our answers, as it is configured there
 * @param connectTimeoutMs the proxy's time limit for a connect to an endpoint, as it is configured there
 */
public record ExtProcSettings(
        InetSocketAddress listen,
        int mostStreams,
        double silenceMs,
        double nextMs,
        double rememberMs,
        int rememberMost,
        double messageTimeoutMs,
        double connectTimeoutMs) {

    /** A machine is busy at times: so much of the drain's grace is left to it. */
    static final double GRACE_SLACK_MS = 50;

    private static final Set<String> NAMES = Set.of(
            "listen", "max-streams", "silence-ms", "next-consultation-ms", "remember-ms", "remember-most", "proxy");
    private static final Set<String> PROXY_NAMES = Set.of("message-timeout-ms", "connect-timeout-ms");

    /** Reads the file; anything missing, unknown or out of range is told by name and value. */
    public static ExtProcSettings read(Path file) throws IOException {
        try {
            return of(new TomlMapper().readTree(Files.readAllBytes(file)));
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("the settings file is not there: " + file, e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not TOML: " + e.getOriginalMessage(), e);
        }
    }

    private static ExtProcSettings of(JsonNode file) {
        knownOnly("", file, NAMES);
        JsonNode proxy = file.path("proxy");
        knownOnly("proxy.", proxy, PROXY_NAMES);
        return new ExtProcSettings(
                Fields.address("listen", file.path("listen").textValue()),
                whole("max-streams", file.path("max-streams"), 1, 100_000),
                whole("silence-ms", file.path("silence-ms"), 10, 60_000),
                whole("next-consultation-ms", file.path("next-consultation-ms"), 1, 10_000),
                whole("remember-ms", file.path("remember-ms"), 1, 600_000),
                whole("remember-most", file.path("remember-most"), 1, 10_000_000),
                whole("proxy.message-timeout-ms", proxy.path("message-timeout-ms"), 1, 10_000),
                whole("proxy.connect-timeout-ms", proxy.path("connect-timeout-ms"), 1, 10_000));
    }

    private static void knownOnly(String prefix, JsonNode object, Set<String> names) {
        for (Iterator<String> fields = object.fieldNames(); fields.hasNext(); ) {
            String field = fields.next();
            if (!names.contains(field)) {
                throw new IllegalArgumentException("field " + prefix + field + " is unknown; there are "
                        + names.stream().sorted().toList());
            }
        }
    }

    private static int whole(String field, JsonNode value, int least, int most) {
        if (value.isMissingNode()) {
            throw Fields.bad(field, null);
        }
        if (!value.isIntegralNumber()
                || !value.canConvertToInt()
                || value.intValue() < least
                || value.intValue() > most) {
            throw new IllegalArgumentException("field " + field + " is not usable: " + value
                    + "; it must be a whole number from " + least + " to " + most);
        }
        return value.intValue();
    }

    /** The same, but for where it listens. */
    public ExtProcSettings at(InetSocketAddress address) {
        return new ExtProcSettings(
                address, mostStreams, silenceMs, nextMs, rememberMs, rememberMost, messageTimeoutMs, connectTimeoutMs);
    }

    /**
     * Checks what only both files together can break.
     *
     * @throws IllegalArgumentException if a decision could be older than a drain allows when it is carried
     *     out, or an unsafe request could be forgotten while a proxy may still come back with it
     */
    public ExtProcSettings checkedWith(BalancerSettings site) {
        double grace = site.rules().drainGraceMs();
        double age = messageTimeoutMs + connectTimeoutMs + GRACE_SLACK_MS;
        if (age > grace) {
            throw new IllegalArgumentException("field proxy.message-timeout-ms is not usable: "
                    + Math.round(messageTimeoutMs) + "; with proxy.connect-timeout-ms ("
                    + Math.round(connectTimeoutMs) + ") and " + Math.round(GRACE_SLACK_MS)
                    + " for a busy machine it must stay within the drain's grace of " + Math.round(grace));
        }
        double longest = 0;
        for (RequestClass kind : site.classes()) {
            longest = Math.max(longest, kind.deadlineMs());
        }
        if (rememberMs < longest) {
            throw new IllegalArgumentException("field remember-ms is not usable: " + Math.round(rememberMs)
                    + "; it must be at least the longest deadline of a class, " + Math.round(longest));
        }
        return this;
    }
}
