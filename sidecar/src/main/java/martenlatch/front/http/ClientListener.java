package martenlatch.front.http;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;

/** A listening socket that leaves nobody behind: what waits to be accepted is taken in before it closes. */
final class ClientListener extends NioServerSocketChannel {

    /** Takes in what the system has accepted and closes, with nothing in between; on the event loop. */
    void closeEmpty() {
        List<Object> accepted = new ArrayList<>();
        try {
            while (isActive() && doReadMessages(accepted) > 0) {
                continue;
            }
        } catch (Exception e) {
            // No descriptor is left for them: the system ends them with the listener.
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
    }
}
