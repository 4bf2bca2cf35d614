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
import martenlatch.config.ConfigurationException;
import martenlatch.gossip.GossipMembership;
import martenlatch.gossip.GossipSettings;
import martenlatch.gossip.PeerState;
import martenlatch.gossip.PeerView;
import martenlatch.net.Buffers;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;
import martenlatch.site.PeerAddresses;

/** Runs the gossip membership protocol among the sidecars over UDP, on the sidecar's event loop. */
final class GossipTransport implements GossipMembership.Environment {

    /** Exceeds the size of every valid message; a longer datagram is truncated and then rejected as malformed. */
    private static final int MAX_DATAGRAM_BYTES = 512;

    /** The highest zone index that a gossip message can carry. */
    private static final int MAX_ZONE = 31;

    private final EventLoop loop;
    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final GossipMembership membership;
    private List<InetSocketAddress> addresses;
    private final Map<InetSocketAddress, Integer> peersByAddress = new HashMap<>();
    private DatagramChannel channel;
    private boolean closed;

    GossipTransport(
            EventLoop loop,
            Scheduler scheduler,
            RateLimitedLogger logger,
            BalancerSettings settings,
            PeerAddresses peerAddresses,
            long seed) {
        this.loop = loop;
        this.scheduler = scheduler;
        this.logger = logger;
        membership = new GossipMembership(
                GossipSettings.withDefaults(
                        settings.ownIndex(),
                        peerAddresses.addresses().size(),
                        settings.tier(),
                        Math.min(MAX_ZONE, settings.ownZone())),
                seed,
                this);
        applyAddresses(peerAddresses.addresses());
    }

    /** Replaces the addresses of the peers; the number of peers cannot change while the sidecar runs. */
    void applyAddresses(List<InetSocketAddress> next) {
        if (addresses != null && next.size() != addresses.size()) {
            throw new ConfigurationException(
                    "peers",
                    "field peers must keep its " + addresses.size() + " addresses in service but has " + next.size());
        }
        addresses = List.copyOf(next);
        peersByAddress.clear();
        for (int i = 0; i < addresses.size(); i++) {
            peersByAddress.put(addresses.get(i), i);
        }
    }

    /** Binds the UDP socket; the returned future reports whether that succeeded. */
    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture binding = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.ALLOCATOR, Buffers.ALLOCATOR)
                // During a handover both processes of this sidecar bind the address; the newer one receives the
                // messages.
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                    @Override
                    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
                        membership.receive(
                                scheduler.now(),
                                peersByAddress.getOrDefault(packet.sender(), -1),
                                ByteBufUtil.getBytes(packet.content()));
                    }

                    @Override
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        // Ignored: the system reports here that an earlier datagram reached no receiver.
                    }
                })
                .bind(address);
        channel = (DatagramChannel) binding.channel();
        return binding;
    }

    /** Starts the membership protocol. */
    void start() {
        scheduleTick(membership.start(scheduler.now()));
    }

    private void scheduleTick(double dueMs) {
        scheduler.after(dueMs - scheduler.now(), () -> {
            if (!closed) {
                scheduleTick(membership.tick(scheduler.now()));
            }
        });
    }

    /** Leaves the membership, and keeps announcing that until the process ends. */
    void leave() {
        membership.leave(scheduler.now());
    }

    /** Closes the socket; no messages are sent afterwards. */
    void close() {
        closed = true;
        channel.close();
    }

    @Override
    public void send(int peer, byte[] datagram) {
        if (!closed) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), addresses.get(peer)));
        }
    }

    @Override
    public void onStateChanged(int peer, PeerState before, PeerState now) {
        boolean isSignificant = now == PeerState.FAULTY
                || now == PeerState.LEFT
                || before == PeerState.FAULTY
                || before == PeerState.LEFT;
        if (isSignificant) {
            logger.log("peer " + peer, before + " -> " + now);
        }
    }

    /** Returns the membership view as JSON, for the admin API. */
    String json() {
        PeerView view = membership.view(scheduler.now());
        StringBuilder json = new StringBuilder("{\"told\":" + view.memberCount() + ",\"at_least\":" + view.atLeast()
                + ",\"at_most\":" + view.atMost() + ",\"cut_off\":" + view.cutOff() + ",\"massed\":"
                + view.partitioned() + ",\"incarnation\":" + membership.incarnation() + ",\"counts\":\""
                + membership.metrics()
                + "\",\"states\":[");
        for (int i = 0; i < view.memberCount(); i++) {
            json.append(i == 0 ? "\"" : ",\"").append(membership.state(i)).append('"');
        }
        return json.append("]}").toString();
    }
}
