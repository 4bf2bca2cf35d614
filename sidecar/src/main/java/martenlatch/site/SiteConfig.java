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
 * The configuration of a sidecar, read from the file whose path is in the environment variable {@code GW_CONFIG}.
 *
 * @param name the sidecar's name, which stays the same after a restart
 * @param listen the address on which the sidecar serves clients
 * @param admin the address of the admin API, or null if there is none
 * @param discovery the address of discovery
 * @param seed the seed of all random choices
 * @param maxDescriptors the maximum number of file descriptors of the process
 * @param maxMemoryBytes the maximum memory of the process, or 0 if the file does not limit it
 * @param idleCloseMs the maximum time after which endpoints close idle connections, in milliseconds
 * @param names the zones and machine types that endpoint lists refer to
 * @param cachedEndpointList the endpoint list at the time the file was written, which may be outdated
 * @param settings the load balancer's settings
 * @param fields the {@link FieldPaths} of the file
 * @param peerListen the unparsed gossip address, checked only if gossip is enabled
 * @param peers the unparsed addresses of all sidecars of the tier, checked only if gossip is enabled
 */
public record SiteConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        long maxMemoryBytes,
        double idleCloseMs,
        EndpointListDecoder.Names names,
        EndpointList cachedEndpointList,
        BalancerSettings settings,
        Set<String> fields,
        Object peerListen,
        Object peers) {

    private static final int BYTES_PER_MEGABYTE = 1024 * 1024;

    /**
     * Returns the addresses for gossip.
     *
     * @throws ConfigurationException if an address is missing or invalid; this is not checked when the file is read
     */
    public PeerAddresses peerAddresses() {
        return PeerAddresses.parse(peerListen, peers, settings);
    }

    /**
     * Reads a configuration file.
     *
     * @throws ConfigurationException if a field is missing or invalid; the message names the field and the value
     */
    public static SiteConfig read(Path file) throws IOException {
        try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
            in.nextToken();
            if (!(in.currentToken() != null && JsonValues.read(in) instanceof Map<?, ?> config)) {
                throw new ConfigurationException("GW_CONFIG", file + " does not hold a JSON object");
            }
            return parse(config);
        } catch (NoSuchFileException e) {
            throw new ConfigurationException("GW_CONFIG", "GW_CONFIG names a file that does not exist: " + file);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("GW_CONFIG", file + " is not JSON: " + e.getOriginalMessage());
        }
    }

    /**
     * Reads the file again while the process is serving. The file must contain every field of this configuration, and
     * the zones and machine types, which are referred to by index, must be unchanged. This rejects a partly written
     * file and the file of another site.
     *
     * @throws ConfigurationException if any part of the file is missing or invalid
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
        Map<String, Object> comparableFields = new HashMap<>();
        config.forEach((field, value) -> comparableFields.put(String.valueOf(field), value));
        // The fields in the endpoint list differ between versions of the list.
        comparableFields.put("known", null);
        Object admin = config.containsKey("admin") ? config.get("admin") : System.getenv("GW_ADMIN");
        return new SiteConfig(
                String.valueOf(config.get("name")),
                SocketAddresses.parse("listen", config.get("listen")),
                admin == null ? null : SocketAddresses.parse("admin", admin),
                SocketAddresses.parse("discovery", config.get("discovery")),
                seed(config.get("seed")),
                (int) positive(
                        "limits.sockets", object("limits", config.get("limits")).get("sockets")),
                maxMemoryBytes(object("limits", config.get("limits")).get("memory_mb")),
                positive("settings.limits.idle-close-ms", limits.get("idle-close-ms")),
                names,
                EndpointListDecoder.of(object("known", config.get("known")), names),
                requireDistinctNames(SettingsReader.read(settings)),
                FieldPaths.of(comparableFields),
                config.get("peer_listen"),
                config.get("peers"));
    }

    /** Checks that request class names are unique and not empty, as requests refer to their class by name. */
    private static BalancerSettings requireDistinctNames(BalancerSettings settings) {
        Set<String> seenNames = new HashSet<>();
        for (RequestClass requestClass : settings.classes()) {
            String name = requestClass.name();
            if (name.isEmpty() || !seenNames.add(name)) {
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

    private static long maxMemoryBytes(Object megabytes) {
        return megabytes == null ? 0 : (long) (positive("limits.memory_mb", megabytes) * BYTES_PER_MEGABYTE);
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
