package martenlatch.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A socket channel that can be checked for unread input just before its connection is reused. */
final class EndpointSocket extends NioSocketChannel {

    private final ByteBuffer probe = ByteBuffer.allocate(1);

    /**
     * Returns whether the channel is open and has neither unread bytes nor an end of stream. A byte that this check
     * reads is lost.
     */
    boolean isOpenWithoutInput() {
        try {
            return isActive() && javaChannel().read(probe.clear()) == 0;
        } catch (IOException e) {
            // The connection is broken; the pipeline is notified separately.
            return false;
        }
    }
}
