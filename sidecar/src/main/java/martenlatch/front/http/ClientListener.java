package martenlatch.front.http;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A listening socket that leaves nobody behind: what waits to be accepted is taken in before it closes. */
final class ClientListener extends NioServerSocketChannel {

    private boolean closing;

    /**
     * Takes in what the system has accepted and closes, with nothing in between; on the event loop. As long
     * as a selector has the socket a close leaves it open with the system, which goes on accepting for
     * nobody: it is taken from there first, and closed when that is done.
     */
    void closeEmpty() {
        if (!closing) {
            closing = true;
            deregister().addListener(done -> closeOnceFree());
        }
    }

    private void closeOnceFree() {
        if (javaChannel().isRegistered()) {
            // The selector lets go of it at its next turn.
            eventLoop().schedule(this::closeOnceFree, 1, TimeUnit.MICROSECONDS);
            return;
        }
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
