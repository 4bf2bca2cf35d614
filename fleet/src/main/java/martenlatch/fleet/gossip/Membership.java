package martenlatch.fleet.gossip;

import martenlatch.gossip.PeerState;

/** One way to know who lives, as one member runs it. Times are milliseconds since 1970. */
interface Membership {

    /** Carries out what it wants. */
    interface Wire {
        void send(int to, byte[] datagram);

        void changed(int peer, PeerState before, PeerState now);
    }

    /** Makes one for a life that begins. */
    interface Maker {
        Membership make(int self, int told, int zone, long seed, Wire wire);
    }

    /** Begins; returns when the first tick is due. */
    double start(double now);

    /** Returns when the next one is due. */
    double tick(double now);

    void receive(double now, int from, byte[] datagram);

    /** Is about to end, and may say so. */
    void leave(double now);

    PeerState state(int peer);
}
