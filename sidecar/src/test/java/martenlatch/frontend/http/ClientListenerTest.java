package martenlatch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that a closing listener serves each connection that the kernel has accepted, and accepts no other. */
@Timeout(60)
class ClientListenerTest {

    private final EventLoop loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final List<Socket> clients = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Returns whether a connection to the address can be established. */
    private boolean connects(InetSocketAddress address) {
        try {
            clients.add(new Socket(address.getAddress(), address.getPort()));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Guards against resets of clients that connect between the last accept and the close of the listener. The clients
     * connect immediately before and after the close is requested, while the event loop is busy.
     */
    @Test
    void everyAcceptedConnectionIsServedWhenListenerCloses() throws Exception {
        ClientListener listener = (ClientListener) new ServerBootstrap()
                .group(loop)
                .channelFactory(ClientListener::new)
                .childHandler(new GreetingHandler())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        InetSocketAddress address = listener.localAddress();
        List<Boolean> connectedBeforeClose = new ArrayList<>();
        CompletableFuture<Boolean> connectedAfterClose = new CompletableFuture<>();
        loop.submit(() -> {
                    connectedBeforeClose.add(connects(address));
                    listener.acceptQueuedAndClose();
                    listener.acceptQueuedAndClose();
                    connectedBeforeClose.add(connects(address));
                    listener.closeFuture().addListener(closed -> connectedAfterClose.complete(connects(address)));
                })
                .get();
        assertEquals(
                false,
                connectedAfterClose.get(20, TimeUnit.SECONDS),
                "the kernel accepts no more connections after the close");
        assertEquals(List.of(true, true), connectedBeforeClose);
        for (Socket client : clients) {
            client.setSoTimeout(20_000);
            assertEquals('!', client.getInputStream().read());
        }
    }

    /** Sends one byte to each accepted client, as proof that it is served. */
    @ChannelHandler.Sharable
    private static final class GreetingHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            Channel channel = ctx.channel();
            channel.writeAndFlush(channel.alloc().buffer().writeByte('!'));
        }
    }
}
