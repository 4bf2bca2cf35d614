package martenlatch.site;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenlatch.config.Fields;
import martenlatch.config.SettingsReader;
import martenlatch.config.Shape;
import martenlatch.discovery.EndpointListDecoder;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;

/**
 * What a sidecar is told at its start, read from the file that GW_CONFIG names.
 *
 * @param name the sidecar's own, the same after a restart
 * @param admin where operators call, or null
 * @param fields what the file holds, by {@link Shape}
 * @param sockets the descriptors that the process may hold
 * @param peerListen as the file has it, and so {@code peers}: most installations have no use for them
 * @param idleCloseMs after how long at most an endpoint closes an idle connection
 */
public record SiteConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        double idleCloseMs,
        EndpointListDecoder.Names names,
        EndpointList known,
        BalancerSettings settings,
        Set<String> fields,
        Object peerListen,
        Object peers) {

    /** How to reach the other sidecars; what is missing or bad is an exception, here and not at the start. */
    public PeerAddresses peerAddresses() {
        return PeerAddresses.of(peerListen, peers, settings);
    }

    /** Reads the file; anything missing or bad is an exception whose message names field and value. */
    public static SiteConfig read(Path file) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            in.nextToken();
            if (!(in.currentToken() != null && SettingsReader.value(in) instanceof Map<?, ?> config)) {
                throw new IllegalArgumentException(file + " holds no JSON object");
            }
            return of(config);
        } catch (NoSuchFileException e) {
            throw new IllegalArgumentException("GW_CONFIG names a file that is not there: " + file, e);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(file + " is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Reads the file again in service. It must hold every field that it held before, and the lists that
     * others refer to by place must be the same: a file that is a part of one, or another site's, changes
     * nothing.
     */
    public SiteConfig again(Path file) throws IOException {
        SiteConfig next = read(file);
        Shape.check(fields, next.fields);
        if (!next.names.equals(names)) {
            throw new IllegalArgumentException("fields settings.azs and settings.models cannot change in service");
        }
        return next;
    }

    private static SiteConfig of(Map<?, ?> config) {
        Map<String, Object> settings = object("settings", config.get("settings"));
        Map<String, Object> limits = object("settings.limits", settings.get("limits"));
        object("settings.rules", settings.get("rules"));
        positive("settings.limits.dial-timeout-ms", limits.get("dial-timeout-ms"));
        positive("settings.limits.try-limit", limits.get("try-limit"));
        EndpointListDecoder.Names names = new EndpointListDecoder.Names(
                words("settings.azs", settings.get("azs")), words("settings.models", settings.get("models")));
        Map<String, Object> shown = new HashMap<>();
        config.forEach((field, value) -> shown.put(String.valueOf(field), value));
        // What it holds differs from list to list.
        shown.put("known", null);
        Object admin = config.containsKey("admin") ? config.get("admin") : System.getenv("GW_ADMIN");
        return new SiteConfig(
                String.valueOf(config.get("name")),
                Fields.address("listen", config.get("listen")),
                admin == null ? null : Fields.address("admin", admin),
                Fields.address("discovery", config.get("discovery")),
                seed(config.get("seed")),
                (int) positive(
                        "limits.sockets", object("limits", config.get("limits")).get("sockets")),
                positive("settings.limits.idle-close-ms", limits.get("idle-close-ms")),
                names,
                EndpointListDecoder.of(object("known", config.get("known")), names),
                checked(SettingsReader.settings(settings)),
                Shape.of(shown),
                config.get("peer_listen"),
                config.get("peers"));
    }

    /** Requests name their class: each must have a name of its own. */
    private static BalancerSettings checked(BalancerSettings settings) {
        Set<String> seen = new HashSet<>();
        for (RequestClass kind : settings.classes()) {
            if (kind.name().isEmpty() || !seen.add(kind.name())) {
                throw Fields.bad("settings.classes[].name", kind.name().isEmpty() ? null : kind.name() + ", twice");
            }
        }
        return settings;
    }

    private static long seed(Object value) {
        try {
            return Long.parseUnsignedLong(value instanceof String text ? text : "", 16);
        } catch (NumberFormatException e) {
            throw Fields.bad("seed", value);
        }
    }

    private static double positive(String field, Object value) {
        if (value instanceof Double number && number > 0 && !number.isInfinite()) {
            return number;
        }
        throw Fields.bad(field, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw Fields.bad(field, value);
    }

    private static List<String> words(String field, Object value) {
        if (!(value instanceof List<?> list)) {
            throw Fields.bad(field, value);
        }
        List<String> words = new ArrayList<>();
        for (Object word : list) {
            words.add(String.valueOf(word));
        }
        return words;
    }
}
