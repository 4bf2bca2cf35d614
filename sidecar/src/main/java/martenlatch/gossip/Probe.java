package martenlatch.gossip;

/** One probe of a peer: some direct pings, then others' help, then its end. */
final class Probe {

    final int subject;
    final int sequence;
    final double sentMs;
    /** Whether its failure accuses its subject; else it is only to find out. */
    final boolean accuses;
    /** The number of messages received from anybody when it began. */
    final long heardBefore;

    int pings = 1;
    /** Parts of the member table that it compares. */
    int comparedParts = 1;

    boolean helpRequested;

    Probe(int subject, int sequence, double sentMs, boolean accuses, long heardBefore) {
        this.subject = subject;
        this.sequence = sequence;
        this.sentMs = sentMs;
        this.accuses = accuses;
        this.heardBefore = heardBefore;
    }
}
