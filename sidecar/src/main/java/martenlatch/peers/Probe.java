package martenlatch.peers;

/** One try to hear a peer: some pings straight to it, others' help, and an end. */
final class Probe {
    final int subject;
    final int sequence;
    final double sentMs;
    /** Its end without an answer speaks against its subject; else it was only to find out. */
    final boolean accuses;
    /** Messages that we had heard of anybody when it began. */
    final long heardBefore;

    int pings = 1;
    /** Parts of the fleet that it compares. */
    int parts = 1;

    boolean helped;

    Probe(int subject, int sequence, double sentMs, boolean accuses, long heardBefore) {
        this.subject = subject;
        this.sequence = sequence;
        this.sentMs = sentMs;
        this.accuses = accuses;
        this.heardBefore = heardBefore;
    }
}
