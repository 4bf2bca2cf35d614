package martenlatch.gossip;

import java.util.List;

/**
 * The members that are alive as far as this member can determine, as bounds. A member may take a share of a fleet-wide
 * limit only if it is safe when each half of a partition does the same, and so divides the limit by {@code atMost}.
 *
 * @param memberCount the number of configured members
 * @param atLeast the number of members that are certainly alive, including this one
 * @param atMost the number of members that may be alive
 * @param zones the same bounds for each zone, by its index in the settings
 * @param cutOff whether this member receives no messages, which is more likely its own fault than that of all others
 * @param partitioned whether so many members are silent at once that a partition is likely; none of them is declared
 *     faulty then
 */
public record PeerView(
        int memberCount, int atLeast, int atMost, List<Bounds> zones, boolean cutOff, boolean partitioned) {

    /** The bounds on the number of members alive in a zone. */
    public record Bounds(int atLeast, int atMost) {}

    /** Copies the list of zones. */
    public PeerView {
        zones = List.copyOf(zones);
    }
}
