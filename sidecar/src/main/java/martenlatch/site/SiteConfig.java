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
import martenlatch.config.ConfigurationException;
import martenlatch.config.FieldPaths;
import martenlatch.config.JsonValues;
import martenlatch.config.SettingsReader;
import martenlatch.config.SocketAddresses;
import martenlatch.discovery.EndpointListDecoder;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.policy.api.RequestClass;
import martenlatch.request.EndpointList;

/**
 * The configuration of a sidecar, read from the file that GW_CONFIG names.
 *
 * @param name the sidecar's name, the same after a restart
 * @param listen the address for clients
 * @param admin the address for operators, or null
 * @param discovery the address of discovery
 * @param seed makes random choices repeatable
 * @param maxDescriptors the number of descriptors that the process may hold
 * @param idleCloseMs after how long at most an endpoint closes an idle connection, in milliseconds
 * @param names the zones and machine kinds that lists refer to
 * @param cachedEndpointList the endpoint list known so far
 * @param settings the load balancer's settings
 * @param fields the {@link FieldPaths} of the file
 * @param peerListen the gossip address as in the file, checked only where gossip is on
 * @param peers the addresses of the other sidecars as in the file, checked only where gossip is on
 */
public record SiteConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        double idleCloseMs,
        EndpointListDecoder.Names names,
        EndpointList cachedEndpointList,
        BalancerSettings settings,
        Set<String> fields,
        Object peerListen,
        Object peers) {

    /**
     * How to reach the other sidecars.
     *
     * @throws ConfigurationException if that is missing or cannot be used: here, and not when the file is read
     */
    public PeerAddresses peerAddresses() {
        return PeerAddresses.parse(peerListen, peers, settings);
    }

    /**
     * Reads the file.
     *
     * @throws ConfigurationException if a field is missing or cannot be used; the message names field and value
     */
    public static SiteConfig read(Path file) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            in.nextToken();
            if (!(in.currentToken() != null && JsonValues.read(in) instanceof Map<?, ?> config)) {
                throw new ConfigurationException("GW_CONFIG", file + " holds no JSON object");
            }
            return parse(config);
        } catch (NoSuchFileException e) {
            throw new ConfigurationException("GW_CONFIG", "GW_CONFIG names a file that is not there: " + file);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("GW_CONFIG", file + " is not JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Reads the file again in service. It must hold every field that it held before, and the lists that others refer
     * to by index must be the same: neither part of a file nor another site's is accepted.
     *
     * @throws ConfigurationException if the file cannot be used as a whole
     */
    public SiteConfig reload(Path file) throws IOException {
        SiteConfig next = read(file);
        FieldPaths.requireNoneMissing(fields, next.fields);
        if (!next.names.equals(names)) {
            throw new ConfigurationException(
                    "settings.azs", "fields settings.azs and settings.models cannot change in service");
        }
        return next;
    }

    private static SiteConfig parse(Map<?, ?> config) {
        Map<String, Object> settings = object("settings", config.get("settings"));
        Map<String, Object> limits = object("settings.limits", settings.get("limits"));
        object("settings.rules", settings.get("rules"));
        positive("settings.limits.dial-timeout-ms", limits.get("dial-timeout-ms"));
        positive("settings.limits.try-limit", limits.get("try-limit"));
        EndpointListDecoder.Names names = new EndpointListDecoder.Names(
                strings("settings.azs", settings.get("azs")), strings("settings.models", settings.get("models")));
        Map<String, Object> comparable = new HashMap<>();
        config.forEach((field, value) -> comparable.put(String.valueOf(field), value));
        // The fields within it differ from list to list.
        comparable.put("known", null);
        Object admin = config.containsKey("admin") ? config.get("admin") : System.getenv("GW_ADMIN");
        return new SiteConfig(
                String.valueOf(config.get("name")),
                SocketAddresses.parse("listen", config.get("listen")),
                admin == null ? null : SocketAddresses.parse("admin", admin),
                SocketAddresses.parse("discovery", config.get("discovery")),
                seed(config.get("seed")),
                (int) positive(
                        "limits.sockets", object("limits", config.get("limits")).get("sockets")),
                positive("settings.limits.idle-close-ms", limits.get("idle-close-ms")),
                names,
                EndpointListDecoder.of(object("known", config.get("known")), names),
                requireDistinctNames(SettingsReader.read(settings)),
                FieldPaths.of(comparable),
                config.get("peer_listen"),
                config.get("peers"));
    }

    /** Requests name their class: each must have a name of its own. */
    private static BalancerSettings requireDistinctNames(BalancerSettings settings) {
        Set<String> seen = new HashSet<>();
        for (RequestClass requestClass : settings.classes()) {
            String name = requestClass.name();
            if (name.isEmpty() || !seen.add(name)) {
                throw ConfigurationException.unusable(
                        "settings.classes[].name", name.isEmpty() ? null : name + ", twice");
            }
        }
        return settings;
    }

    private static long seed(Object value) {
        try {
            return Long.parseUnsignedLong(value instanceof String text ? text : "", 16);
        } catch (NumberFormatException e) {
            throw ConfigurationException.unusable("seed", value);
        }
    }

    private static double positive(String field, Object value) {
        if (value instanceof Double number && number > 0 && !number.isInfinite()) {
            return number;
        }
        throw ConfigurationException.unusable(field, value);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(String field, Object value) {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw ConfigurationException.unusable(field, value);
    }

    private static List<String> strings(String field, Object value) {
        if (!(value instanceof List<?> list)) {
            throw ConfigurationException.unusable(field, value);
        }
        List<String> strings = new ArrayList<>();
        for (Object element : list) {
            strings.add(String.valueOf(element));
        }
        return strings;
    }
}
