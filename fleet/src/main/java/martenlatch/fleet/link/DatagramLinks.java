package martenlatch.fleet.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.IntStream;

/**
 * Relays UDP between all members of a group, as the platform does: each member has one address per other member,
 * which it sends to and receives from, and one more to reach all of them. Each ordered pair has its own conditions.
 * Everything runs on one event loop, which calls from other threads are handed to.
 */
public final class DatagramLinks {

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final int members;
    private final LinkObserver observer;
    private final LongSupplier clock;
    private final InetSocketAddress[] memberAddresses;
    private final DatagramChannel[][] pairChannels;
    private final DatagramChannel[] broadcastChannels;
    private final LinkModel[][] models;
    private final long[] sentBytes;

    /** Creates links between {@code members} members, none of which has an address yet. */
    public DatagramLinks(
            EventLoop loop,
            int members,
            LoopbackAddresses addresses,
            long seed,
            LinkObserver observer,
            LongSupplier clock) {
        this.loop = loop;
        this.members = members;
        this.observer = observer;
        this.clock = clock;
        memberAddresses = new InetSocketAddress[members];
        pairChannels = new DatagramChannel[members][members];
        broadcastChannels = new DatagramChannel[members];
        models = new LinkModel[members][members];
        sentBytes = new long[members];
        for (int i = 0; i < members; i++) {
            int from = i;
            broadcastChannels[i] = bind(
                    addresses.next(),
                    packet -> IntStream.range(0, members)
                            .filter(to -> to != from)
                            .forEach(to -> send(from, to, packet.content())));
            for (int j = 0; j < members; j++) {
                int to = j;
                models[i][j] = new LinkModel(seed * members * members + (long) i * members + j);
                pairChannels[i][j] = bind(addresses.next(), packet -> send(from, to, packet.content()));
            }
        }
    }

    private interface PacketHandler {
        void onPacket(DatagramPacket packet);
    }

    private DatagramChannel bind(InetSocketAddress address, PacketHandler handler) {
        return (DatagramChannel) new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        handler.onPacket(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // The system reports an earlier datagram to a port where nobody listens; UDP senders ignore
                        // that.
                        return;
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    private void send(int from, int to, ByteBuf content) {
        sentBytes[from] += content.readableBytes();
        InetSocketAddress receiver = memberAddresses[to];
        if (receiver == null) {
            return;
        }
        double now = now();
        for (double dueMs : models[from][to].datagramArrivalsMs(now, content.readableBytes())) {
            ByteBuf copy = content.copy();
            if (dueMs <= now) {
                pairChannels[to][from].writeAndFlush(new DatagramPacket(copy, receiver));
            } else {
                loop.schedule(
                        () -> {
                            observer.onLate(now() - dueMs);
                            pairChannels[to][from].writeAndFlush(new DatagramPacket(copy, receiver));
                        },
                        (long) ((dueMs - now) * NANOS_PER_MS),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    private double now() {
        return clock.getAsLong() / NANOS_PER_MS;
    }

    /** Sets the address where a member listens. */
    public void setAddress(int member, InetSocketAddress address) {
        loop.execute(() -> memberAddresses[member] = address);
    }

    /**
     * Returns the addresses that a member sends to, and sees datagrams come from, by member number (including its
     * own).
     */
    public List<InetSocketAddress> peerAddresses(int member) {
        return IntStream.range(0, members)
                .mapToObj(to -> pairChannels[member][to].localAddress())
                .toList();
    }

    /** Returns the address that a member sends to in order to reach all others. */
    public InetSocketAddress broadcastAddress(int member) {
        return broadcastChannels[member].localAddress();
    }

    /** Sets the conditions for datagrams that one member sends to another after this returns. */
    public void setConditions(int from, int to, LinkConditions next) {
        loop.submit(() -> models[from][to].setConditions(next)).syncUninterruptibly();
    }

    /** Returns how many bytes a member has sent; a datagram to all counts once for each receiver. */
    public long sentBytes(int member) {
        return loop.submit(() -> sentBytes[member]).syncUninterruptibly().getNow();
    }

    /** Closes all links. */
    public void close() {
        loop.submit(() -> {
                    for (int i = 0; i < members; i++) {
                        broadcastChannels[i].close();
                        for (DatagramChannel channel : pairChannels[i]) {
                            channel.close();
                        }
                    }
                })
                .syncUninterruptibly();
    }
}
