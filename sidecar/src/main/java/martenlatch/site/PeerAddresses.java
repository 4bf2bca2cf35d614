package martenlatch.site;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import martenlatch.config.ConfigurationException;
import martenlatch.config.SocketAddresses;
import martenlatch.policy.api.BalancerSettings;

/**
 * How a sidecar reaches the others for gossip.
 *
 * @param listen the address on which it receives datagrams
 * @param addresses the address of each sidecar of the tier, by index, its own among them: datagrams are sent to it and
 *     arrive from it
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> addresses) {

    /** Copies the list. */
    public PeerAddresses {
        addresses = List.copyOf(addresses);
    }

    /** Parses the fields of a configuration. */
    static PeerAddresses parse(Object listen, Object each, BalancerSettings settings) {
        InetSocketAddress at = SocketAddresses.parse("peer_listen", listen);
        if (!(each instanceof List<?> list)) {
            throw ConfigurationException.unusable("peers", each);
        }
        List<InetSocketAddress> all = new ArrayList<>();
        for (Object one : list) {
            all.add(SocketAddresses.parse("peers[]", one));
        }
        if (settings.ownIndex() >= all.size()) {
            throw new ConfigurationException(
                    "peers",
                    "field peers must have an address for each sidecar, this " + "one's number " + settings.ownIndex()
                            + " among them, but has " + all.size());
        }
        return new PeerAddresses(at, all);
    }
}
