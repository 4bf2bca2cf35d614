package martenlatch.sidecar;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramChannel;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import martenlatch.net.Buffers;
import martenlatch.peers.PeerSettings;
import martenlatch.peers.PeerState;
import martenlatch.peers.PeerView;
import martenlatch.peers.Peers;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.site.PeerAddresses;

/** Membership among the sidecars over UDP, on the sidecar's event loop. */
final class PeerHost implements Peers.Line {

    /** Above what any message of ours has: what is longer is cut, and then no message. */
    private static final int MOST_DATAGRAM = 512;

    private static final int MOST_ZONE = 31;

    private final EventLoop loop;
    private final Scheduler time;
    private final RateLimitedLogger complaints;
    private final Peers peers;
    private List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> numbers = new HashMap<>();
    private DatagramChannel channel;
    private boolean closed;

    PeerHost(
            EventLoop loop,
            Scheduler time,
            RateLimitedLogger complaints,
            BalancerSettings settings,
            PeerAddresses told,
            long seed) {
        this.loop = loop;
        this.time = time;
        this.complaints = complaints;
        peers = new Peers(
                PeerSettings.usual(
                        settings.ownIndex(),
                        told.each().size(),
                        settings.tier(),
                        Math.min(MOST_ZONE, settings.ownZone())),
                seed,
                this);
        readdress(told.each());
    }

    /** Others are elsewhere from now on; how many there are must stay. */
    void readdress(List<InetSocketAddress> next) {
        if (addresses != null && next.size() != addresses.size()) {
            throw new IllegalArgumentException(
                    "field peers must keep its " + addresses.size() + " addresses in service but has " + next.size());
        }
        addresses = List.copyOf(next);
        numbers.clear();
        for (int i = 0; i < addresses.size(); i++) {
            numbers.put(addresses.get(i), i);
        }
    }

    /** Listens; the future tells whether that can be. */
    ChannelFuture listen(InetSocketAddress at) {
        ChannelFuture bound = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                // While one process of this sidecar takes over from another, the newer one hears the others.
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MOST_DATAGRAM))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        peers.receive(
                                time.now(),
                                numbers.getOrDefault(packet.sender(), -1),
                                ByteBufUtil.getBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // The system tells of a datagram sent before that nobody was there to take it.
                        return;
                    }
                })
                .bind(at);
        channel = (DatagramChannel) bound.channel();
        return bound;
    }

    /** Makes itself known. */
    void start() {
        after(peers.start(time.now()));
    }

    private void after(double due) {
        time.after(due - time.now(), () -> {
            if (!closed) {
                after(peers.tick(time.now()));
            }
        });
    }

    /** Says goodbye, and goes on telling it until the process ends. */
    void leave() {
        peers.leave(time.now());
    }

    /** Says nothing more. */
    void close() {
        closed = true;
        channel.close();
    }

    @Override
    public void send(int to, byte[] datagram) {
        if (!closed) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), addresses.get(to)));
        }
    }

    @Override
    public void changed(int peer, PeerState before, PeerState now) {
        boolean told = now == PeerState.FAULTY
                || now == PeerState.LEFT
                || before == PeerState.FAULTY
                || before == PeerState.LEFT;
        if (told) {
            complaints.log("peer " + peer, before + " -> " + now);
        }
    }

    /** For operators. */
    String json() {
        PeerView view = peers.view(time.now());
        StringBuilder json = new StringBuilder("{\"told\":" + view.told() + ",\"at_least\":" + view.atLeast()
                + ",\"at_most\":" + view.atMost() + ",\"cut_off\":" + view.cutOff() + ",\"massed\":"
                + view.massed() + ",\"incarnation\":" + peers.incarnation() + ",\"counts\":\"" + peers.counts()
                + "\",\"states\":[");
        for (int i = 0; i < view.told(); i++) {
            json.append(i == 0 ? "\"" : ",\"").append(peers.state(i)).append('"');
        }
        return json.append("]}").toString();
    }
}
