package martenlatch.frontend.http;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A listening socket that drops nobody: connections in the accept queue are accepted before it closes. */
final class ClientListener extends NioServerSocketChannel {

    private boolean closing;

    /**
     * Accepts what is in the accept queue and closes, with nothing in between; to be called on the event loop. While a
     * selector holds the socket, closing it leaves it open in the system, which goes on accepting for nobody: it is
     * deregistered first, and closed when that is done.
     */
    void acceptQueuedAndClose() {
        if (!closing) {
            closing = true;
            deregister().addListener(done -> closeOnceDeregistered());
        }
    }

    private void closeOnceDeregistered() {
        if (javaChannel().isRegistered()) {
            // The selector releases it in its next turn.
            eventLoop().schedule(this::closeOnceDeregistered, 1, TimeUnit.MICROSECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            boolean mayBeMore = true;
            while (mayBeMore && isActive()) {
                mayBeMore = doReadMessages(accepted) > 0;
            }
        } catch (Exception e) {
            // No descriptor is left for them: the system ends them with the listener.
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
    }
}
