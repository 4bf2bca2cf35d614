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
 * Links over UDP between all members of a group, as the platform gives them: each member has an address for
 * each other one, to send to and to hear from, and one more for all at once. Each ordered pair has a
 * conduct. All of it runs on one event loop; what is asked of it from outside goes there.
 */
public final class DatagramLinks {

    private static final double NANOS_IN_MS = 1e6;

    private final EventLoop loop;
    private final int members;
    private final LinkWatch watch;
    private final LongSupplier clock;
    private final InetSocketAddress[] homes;
    private final DatagramChannel[][] doors;
    private final DatagramChannel[] toAll;
    private final LinkModel[][] models;
    private final long[] sentBytes;

    /** Links between so many members, none of whom has an address yet. */
    public DatagramLinks(
            EventLoop loop, int members, Loopback addresses, long seed, LinkWatch watch, LongSupplier clock) {
        this.loop = loop;
        this.members = members;
        this.watch = watch;
        this.clock = clock;
        homes = new InetSocketAddress[members];
        doors = new DatagramChannel[members][members];
        toAll = new DatagramChannel[members];
        models = new LinkModel[members][members];
        sentBytes = new long[members];
        for (int i = 0; i < members; i++) {
            int from = i;
            toAll[i] = bind(
                    addresses.next(),
                    packet -> IntStream.range(0, members)
                            .filter(to -> to != from)
                            .forEach(to -> send(from, to, packet.content())));
            for (int j = 0; j < members; j++) {
                int to = j;
                models[i][j] = new LinkModel(seed * members * members + (long) i * members + j);
                doors[i][j] = bind(addresses.next(), packet -> send(from, to, packet.content()));
            }
        }
    }

    private interface Hearer {
        void heard(DatagramPacket packet);
    }

    private DatagramChannel bind(InetSocketAddress at, Hearer hearer) {
        return (DatagramChannel) new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        hearer.heard(packet);
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // Nobody is at home there: the system says so of a datagram sent before.
                        return;
                    }
                })
                .bind(at)
                .syncUninterruptibly()
                .channel();
    }

    private void send(int from, int to, ByteBuf content) {
        sentBytes[from] += content.readableBytes();
        InetSocketAddress home = homes[to];
        if (home == null) {
            return;
        }
        double now = now();
        for (double at : models[from][to].datagram(now, content.readableBytes())) {
            ByteBuf copy = content.copy();
            if (at <= now) {
                doors[to][from].writeAndFlush(new DatagramPacket(copy, home));
            } else {
                loop.schedule(
                        () -> {
                            watch.late(now() - at);
                            doors[to][from].writeAndFlush(new DatagramPacket(copy, home));
                        },
                        (long) ((at - now) * NANOS_IN_MS),
                        TimeUnit.NANOSECONDS);
            }
        }
    }

    private double now() {
        return clock.getAsLong() / NANOS_IN_MS;
    }

    /** Where a member listens. */
    public void home(int member, InetSocketAddress at) {
        loop.execute(() -> homes[member] = at);
    }

    /** Where a member sends to reach each of the others, and by which it knows them; its own among them. */
    public List<InetSocketAddress> seenBy(int member) {
        return IntStream.range(0, members)
                .mapToObj(to -> doors[member][to].localAddress())
                .toList();
    }

    /** Where a member sends to reach all. */
    public InetSocketAddress all(int member) {
        return toAll[member].localAddress();
    }

    /** How what one member sends to another is treated from now on: what is sent after this returns. */
    public void conduct(int from, int to, LinkConditions next) {
        loop.submit(() -> models[from][to].conduct(next)).syncUninterruptibly();
    }

    /** Bytes that a member has sent so far, each datagram to all counted once for each that it goes to. */
    public long sentBytes(int member) {
        return loop.submit(() -> sentBytes[member]).syncUninterruptibly().getNow();
    }

    /** Ends all links. */
    public void close() {
        loop.submit(() -> {
                    for (int i = 0; i < members; i++) {
                        toAll[i].close();
                        for (DatagramChannel door : doors[i]) {
                            door.close();
                        }
                    }
                })
                .syncUninterruptibly();
    }
}
