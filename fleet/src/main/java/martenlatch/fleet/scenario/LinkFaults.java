package martenlatch.fleet.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import martenlatch.fleet.link.LinkConditions;

/** Tracks the link faults that are active and combines them; used by the relays and by the simulation. */
public final class LinkFaults {

    private record ActiveFault(Fault fault, Set<String> from, Set<String> to) {}

    private final List<ActiveFault> active = new ArrayList<>();

    /** Called when a fault begins. Ignores faults of other kinds. */
    public void begin(Fault fault) {
        if (fault.what() == Fault.What.LINK) {
            active.add(new ActiveFault(fault, Set.copyOf(fault.who()), Set.copyOf(fault.to())));
        }
    }

    /** Called when a fault ends. */
    public void end(Fault fault) {
        active.removeIf(activeFault -> activeFault.fault().number() == fault.number());
    }

    /** Returns how a link treats data: from sender to target if {@code onwards}, otherwise from target to sender. */
    public LinkConditions conduct(String from, String to, boolean onwards) {
        LinkConditions combined = LinkConditions.CLEAR;
        for (ActiveFault activeFault : active) {
            if (activeFault.from().contains(from) && activeFault.to().contains(to)) {
                combined = combined.combinedWith(
                        onwards
                                ? activeFault.fault().onwards()
                                : activeFault.fault().backwards());
            }
        }
        return combined;
    }
}
