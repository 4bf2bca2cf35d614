package martenlatch.fleet.link;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Allocates a separate loopback address for each listener. Outgoing connections come from 127.0.0.1, so none of
 * them can take the port of a listener that is closed for a while. The system chooses the ports.
 */
public final class LoopbackAddresses {

    private static final int FIRST_NET = 64;
    private static final int NET_COUNT = 128;
    private static final int BYTE_VALUES = 256;
    private static final int MAX_ADDRESSES = BYTE_VALUES * (BYTE_VALUES - 2);

    private final int net;
    private int used;

    /**
     * Allocates addresses of the network 127.n.0.0/16, where n is derived from {@code salt}; different salts may
     * give the same network.
     */
    public LoopbackAddresses(long salt) {
        net = FIRST_NET + (int) Math.floorMod(salt, (long) NET_COUNT);
    }

    /** Returns the next address, with port 0. */
    public synchronized InetSocketAddress next() {
        if (used >= MAX_ADDRESSES) {
            throw new IllegalStateException("more than " + MAX_ADDRESSES + " listeners");
        }
        int number = used++;
        byte[] bytes = {127, (byte) net, (byte) (number / (BYTE_VALUES - 2)), (byte) (1 + number % (BYTE_VALUES - 2))};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), 0);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }
}
