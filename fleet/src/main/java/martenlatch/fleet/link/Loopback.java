package martenlatch.fleet.link;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Loopback addresses, a new one for each listener: a port that is let go for a while can't be taken by some
 * outgoing connection meanwhile, as those come from 127.0.0.1. The ports are the system's choice.
 */
public final class Loopback {

    private static final int FIRST = 64;
    private static final int NETS = 128;
    private static final int BYTE = 256;
    private static final int MOST = BYTE * (BYTE - 2);

    private final int net;
    private int used;

    /** Addresses of a net that follows from {@code salt}; two nets seldom are the same, and may be. */
    public Loopback(long salt) {
        net = FIRST + (int) Math.floorMod(salt, (long) NETS);
    }

    /** An address with no port yet. */
    public synchronized InetSocketAddress next() {
        if (used >= MOST) {
            throw new IllegalStateException("more than " + MOST + " listeners");
        }
        int number = used++;
        byte[] bytes = {127, (byte) net, (byte) (number / (BYTE - 2)), (byte) (1 + number % (BYTE - 2))};
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), 0);
        } catch (UnknownHostException e) {
            throw new IllegalStateException(e);
        }
    }
}
