package martenlatch.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses socket addresses such as {@code 10.0.0.4:9000}. Host names are rejected because DNS is not used. */
public final class SocketAddresses {

    private SocketAddresses() {}

    /**
     * Parses the socket address in a field.
     *
     * @throws ConfigurationException if the value is not an IP address and a port
     */
    public static InetSocketAddress parse(String field, Object value) {
        if (value instanceof String text) {
            int colon = text.lastIndexOf(':');
            byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
            if (ip != null) {
                try {
                    int port = Integer.parseInt(text.substring(colon + 1));
                    return new InetSocketAddress(InetAddress.getByAddress(ip), port);
                } catch (UnknownHostException | IllegalArgumentException e) {
                    throw ConfigurationException.unusable(field, value);
                }
            }
        }
        throw ConfigurationException.unusable(field, value);
    }
}
