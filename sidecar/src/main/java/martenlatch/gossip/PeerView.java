package martenlatch.gossip;

import java.util.List;

/**
 * Which members are alive, as far as can be told from here. Bounds, not a number: of what a fleet shares, a member may
 * take what is safe if each half of a partition does the same, and so divides by {@code atMost}.
 *
 * @param memberCount the number of configured members
 * @param atLeast members that are certainly alive, this one among them
 * @param atMost members that may be alive
 * @param zones the same by zone, by its index in the settings
 * @param cutOff this member hears nobody: more likely its own fault than that of all others
 * @param partitioned so many are silent at once that it looks like a partition: none of them is declared faulty
 */
public record PeerView(
        int memberCount, int atLeast, int atMost, List<Bounds> zones, boolean cutOff, boolean partitioned) {

    /** How many members of a zone are alive. */
    public record Bounds(int atLeast, int atMost) {}

    /** Copies the list. */
    public PeerView {
        zones = List.copyOf(zones);
    }
}
