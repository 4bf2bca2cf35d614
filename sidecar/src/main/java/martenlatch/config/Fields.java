package martenlatch.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Checks of single fields; what can't be used is told by name and value. */
public final class Fields {

    private Fields() {}

    /** Reads {@code 10.0.0.4:9000}; names would need DNS, of which there is none. */
    public static InetSocketAddress address(String field, Object value) {
        if (value instanceof String text) {
            int colon = text.lastIndexOf(':');
            byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
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

    /** What is to be thrown for a field that is missing (null) or not usable. */
    public static IllegalArgumentException bad(String field, Object value) {
        return new IllegalArgumentException(
                "field " + field + (value == null ? " is missing" : " is not usable: " + value));
    }
}
