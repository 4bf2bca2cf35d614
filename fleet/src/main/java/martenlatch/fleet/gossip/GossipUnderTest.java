package martenlatch.fleet.gossip;

import martenlatch.gossip.GossipMembership;
import martenlatch.gossip.GossipSettings;
import martenlatch.gossip.PeerState;
import martenlatch.gossip.PeerView;

/** The program's own membership. */
final class GossipUnderTest implements Membership {

    private final GossipMembership peers;

    GossipUnderTest(int self, int told, int zone, long seed, Wire wire) {
        peers = new GossipMembership(
                GossipSettings.withDefaults(self, told, 0, zone), seed, new GossipMembership.Environment() {
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
        return peers.start(now);
    }

    @Override
    public double tick(double now) {
        return peers.tick(now);
    }

    @Override
    public void receive(double now, int from, byte[] datagram) {
        peers.receive(now, from, datagram);
    }

    @Override
    public void leave(double now) {
        peers.leave(now);
    }

    @Override
    public PeerState state(int peer) {
        return peers.state(peer);
    }

    PeerView view(double now) {
        return peers.view(now);
    }

    GossipMembership peers() {
        return peers;
    }
}
