package martenlatch.fleet.gossip;

import martenlatch.gossip.PeerState;

/** A failure detector, as one member runs it. Times are in milliseconds since 1970. */
interface Membership {

    /** Sends a member's datagrams and receives its state changes. */
    interface Wire {
        void send(int to, byte[] datagram);

        void changed(int peer, PeerState before, PeerState now);
    }

    /** Creates the detector of a member that starts. */
    interface Maker {
        Membership make(int self, int memberCount, int zone, long seed, Wire wire);
    }

    /** Starts the detector and returns when the first tick is due. */
    double start(double now);

    /** Runs the periodic work and returns when the next tick is due. */
    double tick(double now);

    void receive(double now, int from, byte[] datagram);

    /** Called before the member ends, so that it can announce that it leaves. */
    void leave(double now);

    PeerState state(int peer);
}
