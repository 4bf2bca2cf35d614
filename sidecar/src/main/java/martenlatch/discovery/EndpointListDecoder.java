package martenlatch.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenlatch.config.ConfigurationException;
import martenlatch.config.JsonValues;
import martenlatch.config.SocketAddresses;
import martenlatch.policy.api.Endpoint;
import martenlatch.policy.api.EndpointStatus;
import martenlatch.request.EndpointList;

/** Decodes endpoint lists from the JSON that discovery sends. */
public final class EndpointListDecoder {

    private static final JsonFactory JSON = new JsonFactory();

    private EndpointListDecoder() {}

    /** The names of zones and machine types; their indexes stand for them everywhere else. */
    public record Names(List<String> zones, List<String> kinds) {}

    /**
     * Decodes a list.
     *
     * @throws IOException if it is not JSON, or not an object
     * @throws IllegalArgumentException naming the field and the value that cannot be used
     */
    public static EndpointList parse(byte[] json, Names names) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            in.nextToken();
            if (!(in.currentToken() != null && JsonValues.read(in) instanceof Map<?, ?> list)) {
                throw new IOException("the list of endpoints is no object");
            }
            return of(list, names);
        }
    }

    /**
     * Takes a list from JSON that was parsed already.
     *
     * @throws IllegalArgumentException naming the field and the value that cannot be used
     */
    public static EndpointList of(Map<?, ?> list, Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw ConfigurationException.unusable("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw ConfigurationException.unusable("full", list.get("full"));
        }
        if (!(list.get("servers") instanceof List<?> lines)) {
            throw ConfigurationException.unusable("servers", list.get("servers"));
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Object line : lines) {
            if (!(line instanceof Map<?, ?> fields)) {
                throw ConfigurationException.unusable("servers[]", line);
            }
            entries.add(entry(fields, names));
        }
        return new EndpointList(version.longValue(), full, entries);
    }

    private static EndpointList.Entry entry(Map<?, ?> fields, Names names) {
        if (!(fields.get("id") instanceof String id)) {
            throw ConfigurationException.unusable("servers[].id", fields.get("id"));
        }
        EndpointStatus state =
                switch (String.valueOf(fields.get("state"))) {
                    case "in_service" -> EndpointStatus.READY;
                    case "terminating" -> EndpointStatus.DRAINING;
                    case "terminated" -> EndpointStatus.GONE;
                    default -> throw ConfigurationException.unusable("servers[].state", fields.get("state"));
                };
        // Of an endpoint that is gone nothing but its id need be told.
        InetSocketAddress address =
                state == EndpointStatus.GONE ? null : SocketAddresses.parse("servers[].addr", fields.get("addr"));
        return new EndpointList.Entry(
                new Endpoint(
                        id,
                        names.zones().indexOf(fields.get("zone")),
                        names.kinds().indexOf(fields.get("kind")),
                        (int) number(fields, "cell", 0),
                        number(fields, "started_ms", 0),
                        state,
                        number(fields, "weight", 1)),
                address);
    }

    private static double number(Map<?, ?> fields, String name, double absent) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw ConfigurationException.unusable("servers[]." + name, value);
    }
}
