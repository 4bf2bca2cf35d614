package martenlatch.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket that can tell, just before it is used again, whether anything has come on it meanwhile. */
final class EndpointSocket extends NioSocketChannel {

    private final ByteBuffer one = ByteBuffer.allocate(1);

    /** Whether it stands open and holds neither a byte nor the other side's end. What it finds is lost. */
    boolean isSilent() {
        try {
            return isActive() && javaChannel().read(one.clear()) == 0;
        } catch (IOException e) {
            // The connection has broken, which its own handlers will hear of too.
            return false;
        }
    }
}
