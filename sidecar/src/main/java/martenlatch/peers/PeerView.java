package martenlatch.peers;

import java.util.List;

/**
 * Who lives, as far as can be told from here. Bounds, not a number: of what a fleet shares, a member may take
 * what is safe if each half of a split does the same, and so divides by {@code atMost}.
 *
 * @param told how many there are to be
 * @param atLeast members that live for sure, ourselves among them
 * @param atMost members that may live
 * @param zones the same by zone, by its place in the settings
 * @param cutOff we hear nobody: it is more likely ourselves than all the others
 * @param massed so many are silent at once that it looks like a cut: none of them is called faulty
 */
public record PeerView(int told, int atLeast, int atMost, List<Bounds> zones, boolean cutOff, boolean massed) {

    /** How many live in a zone. */
    public record Bounds(int atLeast, int atMost) {}

    public PeerView {
        zones = List.copyOf(zones);
    }
}
