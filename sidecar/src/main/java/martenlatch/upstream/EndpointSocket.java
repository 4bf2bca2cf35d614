package martenlatch.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that can tell, just before it is used again, whether anything has arrived on it in the meantime. */
final class EndpointSocket extends NioSocketChannel {

    private final ByteBuffer probe = ByteBuffer.allocate(1);

    /** Whether it is open and holds neither a byte nor the other side's end. What it finds is lost. */
    boolean isSilent() {
        try {
            return isActive() && javaChannel().read(probe.clear()) == 0;
        } catch (IOException e) {
            // The connection is broken, which its own handlers will be told too.
            return false;
        }
    }
}
