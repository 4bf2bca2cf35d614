package martenlatch.site;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import martenlatch.config.ConfigurationException;
import martenlatch.config.SocketAddresses;
import martenlatch.policy.api.BalancerSettings;

/**
 * The addresses that a sidecar uses for gossip.
 *
 * @param listen the address on which the sidecar receives datagrams
 * @param addresses the addresses of all sidecars of the tier by index, including its own; datagrams are sent to and
 *     received from these addresses
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> addresses) {

    /** Copies the list of addresses. */
    public PeerAddresses {
        addresses = List.copyOf(addresses);
    }

    /**
     * Parses the {@code peer_listen} and {@code peers} fields of a configuration.
     *
     * @throws ConfigurationException if a field is missing or invalid
     */
    static PeerAddresses parse(Object listen, Object peers, BalancerSettings settings) {
        InetSocketAddress listenAddress = SocketAddresses.parse("peer_listen", listen);
        if (!(peers instanceof List<?> list)) {
            throw ConfigurationException.unusable("peers", peers);
        }
        List<InetSocketAddress> peerAddresses = new ArrayList<>();
        for (Object peer : list) {
            peerAddresses.add(SocketAddresses.parse("peers[]", peer));
        }
        if (settings.ownIndex() >= peerAddresses.size()) {
            throw new ConfigurationException(
                    "peers",
                    "field peers must have an address for each sidecar, including its own at index "
                            + settings.ownIndex() + ", but has " + peerAddresses.size());
        }
        return new PeerAddresses(listenAddress, peerAddresses);
    }
}
