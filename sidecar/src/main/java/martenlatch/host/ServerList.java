package martenlatch.host;

import java.net.InetSocketAddress;
import java.util.List;
import martenlatch.policy.api.Endpoint;

/** A list of endpoints, or changes to one. */
public record ServerList(long version, boolean full, List<Entry> entries) {

    /** An endpoint and where it listens; the address is null for one that is gone. */
    public record Entry(Endpoint server, InetSocketAddress address) {}

    /** Hears what comes of a source of such lists. */
    public interface Listener {
        /** A list has come. */
        void listed(ServerList list);

        /** The source has failed and waits to be asked again. */
        void failed();
    }

    /** The endpoints without their addresses, as the decision module has them. */
    public List<Endpoint> servers() {
        return entries.stream().map(Entry::server).toList();
    }
}
