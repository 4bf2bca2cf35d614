package martenlatch.gossip;

/** A probe of a peer: direct pings first, then indirect probes through other members. */
final class Probe {

    final int subject;
    final int sequence;
    final double sentMs;
    /** Whether a failure accuses the subject; otherwise the probe only checks whether the subject answers. */
    final boolean accusesOnFailure;
    /** The number of messages received from any peer when the probe started. */
    final long receivedBefore;

    /** The number of pings sent so far. */
    int pings = 1;
    /** The number of buckets of the member table that the probe compares. */
    int comparedBuckets = 1;

    /** Whether other members were asked to probe the subject. */
    boolean helpRequested;

    Probe(int subject, int sequence, double sentMs, boolean accusesOnFailure, long receivedBefore) {
        this.subject = subject;
        this.sequence = sequence;
        this.sentMs = sentMs;
        this.accusesOnFailure = accusesOnFailure;
        this.receivedBefore = receivedBefore;
    }
}
