package martenlatch.fleet.peers;

import martenlatch.peers.PeerSettings;
import martenlatch.peers.PeerState;
import martenlatch.peers.PeerView;
import martenlatch.peers.Peers;

/** The program's own membership. */
final class Ours implements Membership {

    private final Peers peers;

    Ours(int self, int told, int zone, long seed, Wire wire) {
        peers = new Peers(PeerSettings.usual(self, told, 0, zone), seed, new Peers.Line() {
            @Override
            public void send(int to, byte[] datagram) {
                wire.send(to, datagram);
            }

            @Override
            public void changed(int peer, PeerState before, PeerState now) {
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

    Peers peers() {
        return peers;
    }
}
