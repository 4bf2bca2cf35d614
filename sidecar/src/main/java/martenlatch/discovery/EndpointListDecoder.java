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

    /** The names of zones and machine types; everywhere else they are referred to by their index in these lists. */
    public record Names(List<String> zones, List<String> machineTypes) {}

    /**
     * Decodes an endpoint list from JSON text.
     *
     * @throws IOException if the text is not JSON or not a JSON object
     * @throws IllegalArgumentException if a field is missing or invalid; the message names the field and the value
     */
    public static EndpointList parse(byte[] json, Names names) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            in.nextToken();
            if (!(in.currentToken() != null && JsonValues.read(in) instanceof Map<?, ?> list)) {
                throw new IOException("the endpoint list is not a JSON object");
            }
            return of(list, names);
        }
    }

    /**
     * Decodes an endpoint list from a JSON object that has been parsed already.
     *
     * @throws IllegalArgumentException if a field is missing or invalid; the message names the field and the value
     */
    public static EndpointList of(Map<?, ?> list, Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw ConfigurationException.unusable("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw ConfigurationException.unusable("full", list.get("full"));
        }
        if (!(list.get("servers") instanceof List<?> endpoints)) {
            throw ConfigurationException.unusable("servers", list.get("servers"));
        }
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Object endpoint : endpoints) {
            if (!(endpoint instanceof Map<?, ?> fields)) {
                throw ConfigurationException.unusable("servers[]", endpoint);
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
        // Discovery need not send the address or any other field but the id of an endpoint that is gone.
        InetSocketAddress address =
                state == EndpointStatus.GONE ? null : SocketAddresses.parse("servers[].addr", fields.get("addr"));
        return new EndpointList.Entry(
                new Endpoint(
                        id,
                        names.zones().indexOf(fields.get("zone")),
                        names.machineTypes().indexOf(fields.get("kind")),
                        (int) number(fields, "cell", 0),
                        number(fields, "started_ms", 0),
                        state,
                        number(fields, "weight", 1)),
                address);
    }

    private static double number(Map<?, ?> fields, String name, double defaultValue) {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw ConfigurationException.unusable("servers[]." + name, value);
    }
}
