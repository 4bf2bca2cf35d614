package martenlatch.frontend.http;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A listening socket that accepts the connections in its accept queue before it closes, so that none is reset. */
final class ClientListener extends NioServerSocketChannel {

    private boolean closing;

    /**
     * Accepts the connections in the accept queue and closes immediately afterwards; called on the event loop. The
     * socket is deregistered first: while it is registered with a selector, closing it leaves it open in the kernel,
     * which keeps accepting connections that nobody serves.
     */
    void acceptQueuedAndClose() {
        if (!closing) {
            closing = true;
            deregister().addListener(done -> closeOnceDeregistered());
        }
    }

    private void closeOnceDeregistered() {
        if (javaChannel().isRegistered()) {
            // The selector releases the socket in its next select operation.
            eventLoop().schedule(this::closeOnceDeregistered, 1, TimeUnit.MICROSECONDS);
            return;
        }
        List<Object> accepted = new ArrayList<>();
        try {
            boolean mayHaveMore = true;
            while (mayHaveMore && isActive()) {
                mayHaveMore = doReadMessages(accepted) > 0;
            }
        } catch (Exception e) {
            // Out of file descriptors: the kernel resets the remaining connections when the listener closes.
            pipeline().fireExceptionCaught(e);
        }
        close();
        accepted.forEach(pipeline()::fireChannelRead);
    }
}
