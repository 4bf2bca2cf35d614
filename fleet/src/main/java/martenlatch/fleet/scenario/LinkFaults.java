package martenlatch.fleet.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import martenlatch.fleet.link.LinkConditions;

/** The faults that are on links at a time, and what they come to: the same for relays and in simulation. */
public final class LinkFaults {

    private record One(Fault fault, Set<String> from, Set<String> to) {}

    private final List<One> active = new ArrayList<>();

    /** A fault begins; one that is not of links changes nothing. */
    public void begin(Fault fault) {
        if (fault.what() == Fault.What.LINK) {
            active.add(new One(fault, Set.copyOf(fault.who()), Set.copyOf(fault.to())));
        }
    }

    /** A fault is over. */
    public void end(Fault fault) {
        active.removeIf(one -> one.fault().number() == fault.number());
    }

    /** How what is sent over a link is treated, from its sender on, or back to it. */
    public LinkConditions conduct(String from, String to, boolean onwards) {
        LinkConditions all = LinkConditions.CLEAR;
        for (One one : active) {
            if (one.from().contains(from) && one.to().contains(to)) {
                all = all.combinedWith(
                        onwards ? one.fault().onwards() : one.fault().backwards());
            }
        }
        return all;
    }
}
