package martenlatch.fleet.gossip;

import martenlatch.gossip.GossipMembership;
import martenlatch.gossip.GossipSettings;
import martenlatch.gossip.PeerState;
import martenlatch.gossip.PeerView;

/** The sidecar's gossip membership. */
final class GossipUnderTest implements Membership {

    private final GossipMembership membership;

    GossipUnderTest(int self, int memberCount, int zone, long seed, Wire wire) {
        membership = new GossipMembership(
                GossipSettings.withDefaults(self, memberCount, 0, zone), seed, new GossipMembership.Environment() {
                    @Override
                    public void send(int to, byte[] datagram) {
                        wire.send(to, datagram);
                    }

                    @Override
                    public void onStateChanged(int peer, PeerState before, PeerState now) {
                        wire.changed(peer, before, now);
                    }
                });
    }

    @Override
    public double start(double now) {
        return membership.start(now);
    }

    @Override
    public double tick(double now) {
        return membership.tick(now);
    }

    @Override
    public void receive(double now, int from, byte[] datagram) {
        membership.receive(now, from, datagram);
    }

    @Override
    public void leave(double now) {
        membership.leave(now);
    }

    @Override
    public PeerState state(int peer) {
        return membership.state(peer);
    }

    PeerView view(double now) {
        return membership.view(now);
    }

    GossipMembership membership() {
        return membership;
    }
}
