package martenlatch.site;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import martenlatch.config.Fields;
import martenlatch.policy.api.BalancerSettings;

/**
 * How a sidecar reaches the others.
 *
 * @param listen where it hears them
 * @param each one address for each sidecar of the tier, by number, its own among them: where it is sent to,
 *     and where its datagrams come from
 */
public record PeerAddresses(InetSocketAddress listen, List<InetSocketAddress> each) {

    public PeerAddresses {
        each = List.copyOf(each);
    }

    /** Of a configuration's fields; what is missing or bad is an exception that names field and value. */
    static PeerAddresses of(Object listen, Object each, BalancerSettings settings) {
        InetSocketAddress at = Fields.address("peer_listen", listen);
        if (!(each instanceof List<?> list)) {
            throw Fields.bad("peers", each);
        }
        List<InetSocketAddress> all = new ArrayList<>();
        for (Object one : list) {
            all.add(Fields.address("peers[]", one));
        }
        if (settings.ownIndex() >= all.size()) {
            throw new IllegalArgumentException("field peers must have an address for each sidecar, this "
                    + "one's number " + settings.ownIndex() + " among them, but has " + all.size());
        }
        return new PeerAddresses(at, all);
    }
}
