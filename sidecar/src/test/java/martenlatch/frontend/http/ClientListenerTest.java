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

/** How a listener closes: whom the system has accepted is served, and it accepts nobody that is not. */
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

    /** Whether the system takes a connection there. */
    private boolean connects(InetSocketAddress address) {
        try {
            clients.add(new Socket(address.getAddress(), address.getPort()));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Guards against clients that connect between the last look into the queue and the end of the listener,
     * and are reset: they connect here just before the close and just after it, while the loop is busy.
     */
    @Test
    void nobodyIsAcceptedWhoIsNotServed() throws Exception {
        ClientListener listener = (ClientListener) new ServerBootstrap()
                .group(loop)
                .channelFactory(ClientListener::new)
                .childHandler(new Greeting())
                .bind(new InetSocketAddress("127.0.0.1", 0))
                .sync()
                .channel();
        InetSocketAddress address = listener.localAddress();
        List<Boolean> before = new ArrayList<>();
        CompletableFuture<Boolean> after = new CompletableFuture<>();
        loop.submit(() -> {
                    before.add(connects(address));
                    listener.acceptQueuedAndClose();
                    listener.acceptQueuedAndClose();
                    before.add(connects(address));
                    listener.closeFuture().addListener(closed -> after.complete(connects(address)));
                })
                .get();
        assertEquals(false, after.get(20, TimeUnit.SECONDS), "the system has closed it too");
        assertEquals(List.of(true, true), before);
        for (Socket client : clients) {
            client.setSoTimeout(20_000);
            assertEquals('!', client.getInputStream().read());
        }
    }

    @ChannelHandler.Sharable
    private static final class Greeting extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            Channel channel = ctx.channel();
            channel.writeAndFlush(channel.alloc().buffer().writeByte('!'));
        }
    }
}
