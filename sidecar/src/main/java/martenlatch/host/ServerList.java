package martenlatch.host;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import martenlatch.config.SettingsReader;
import martenlatch.policy.Contract.Server;
import martenlatch.policy.Contract.State;

/** A list of endpoints, or changes to one, in discovery's form. */
public record ServerList(long version, boolean full, List<Entry> entries) {

    private static final JsonFactory JSON = new JsonFactory();

    /** An endpoint and where it listens, as this sidecar sees it. */
    public record Entry(Server server, InetSocketAddress address) {
    }

    /** The names of the zones and kinds, whose places in the settings stand for them. */
    public record Names(List<String> zones, List<String> kinds) {
    }

    public List<Server> servers() {
        return entries.stream().map(Entry::server).toList();
    }

    public static ServerList parse(byte[] json, Names names) throws IOException {
        try (JsonParser in = JSON.createParser(json)) {
            in.nextToken();
            if (!(in.currentToken() != null && SettingsReader.value(in) instanceof Map<?, ?> list)) {
                throw new IOException("the list of endpoints is no object");
            }
            return of(list, names);
        }
    }

    public static ServerList of(Map<?, ?> list, Names names) {
        if (!(list.get("version") instanceof Double version)) {
            throw bad("version", list.get("version"));
        }
        if (!(list.get("full") instanceof Boolean full)) {
            throw bad("full", list.get("full"));
        }
        if (!(list.get("servers") instanceof List<?> lines)) {
            throw bad("servers", list.get("servers"));
        }
        List<Entry> entries = new ArrayList<>();
        for (Object line : lines) {
            if (!(line instanceof Map<?, ?> fields)) {
                throw bad("servers[]", line);
            }
            entries.add(entry(fields, names));
        }
        return new ServerList(version.longValue(), full, entries);
    }

    private static Entry entry(Map<?, ?> fields, Names names) {
        if (!(fields.get("id") instanceof String id)) {
            throw bad("servers[].id", fields.get("id"));
        }
        State state = switch (String.valueOf(fields.get("state"))) {
            case "in_service" -> State.READY;
            case "terminating" -> State.DRAINING;
            case "terminated" -> State.GONE;
            default -> throw bad("servers[].state", fields.get("state"));
        };
        // Of an endpoint that is gone nothing but its id need be told.
        InetSocketAddress address = state == State.GONE ? null
            : address("servers[].addr", fields.get("addr"));
        return new Entry(new Server(id, names.zones().indexOf(fields.get("zone")),
            names.kinds().indexOf(fields.get("kind")), (int) number(fields, "cell", 0),
            number(fields, "started_ms", 0), state, number(fields, "weight", 1)), address);
    }

    private static double number(Map<?, ?> fields, String name, double absent) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Double number) {
            return number;
        }
        throw bad("servers[]." + name, value);
    }

    /** Reads {@code 10.0.0.4:9000}; names would need DNS, of which there is none. */
    public static InetSocketAddress address(String field, Object value) {
        if (value instanceof String text) {
            int colon = text.lastIndexOf(':');
            byte[] ip = colon < 0 ? null
                : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
            if (ip != null) {
                try {
                    int port = Integer.parseInt(text.substring(colon + 1));
                    return new InetSocketAddress(InetAddress.getByAddress(ip), port);
                } catch (UnknownHostException | IllegalArgumentException e) {
                    throw bad(field, value);
                }
            }
        }
        throw bad(field, value);
    }

    public static IllegalArgumentException bad(String field, Object value) {
        return new IllegalArgumentException("field " + field
            + (value == null ? " is missing" : " is not usable: " + value));
    }
}
