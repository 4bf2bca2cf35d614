package martenlatch.fleet.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import martenlatch.fleet.link.LinkConditions;

/**
 * One fault of a plan, with the parts that it hits.
 *
 * @param number its place in the scenario, from 0: what a shrunk plan keeps
 * @param atMs when it begins, since the run's start
 * @param forMs how long it lasts; infinite where nothing ends it
 * @param who the processes, endpoints or discovery that it hits; for links, their senders
 * @param to for links, their targets
 * @param onwards for links, the conduct from sender to target
 * @param backwards for links, the conduct from target to sender
 * @param share for {@link What#CRAWL}, the share of its speed that is left
 * @param jar for {@link What#RESTART}, the other build, or empty
 * @param moves for {@link What#RELOAD}, whether the configuration names another discovery
 */
public record Fault(
        int number,
        double atMs,
        double forMs,
        What what,
        List<String> who,
        List<String> to,
        LinkConditions onwards,
        LinkConditions backwards,
        double share,
        String jar,
        boolean moves) {

    /** What a fault hits. */
    public enum Aim {
        SIDECARS,
        ENDPOINTS,
        DISCOVERY,
        LINKS
    }

    /** Kinds of faults. */
    public enum What {
        /** The process stands still (SIGSTOP). */
        PAUSE(Aim.SIDECARS, true),
        /** It stands still and runs in turn, so that it has a share of its speed. */
        CRAWL(Aim.SIDECARS, true),
        /** It is killed; at the fault's end it starts again. */
        KILL(Aim.SIDECARS, false),
        /** It is asked to end; at the fault's end, or as soon after it as it has ended, it starts again. */
        TERM(Aim.SIDECARS, false),
        /** It is asked to end and starts again at once when it has, perhaps from another build's jar. */
        RESTART(Aim.SIDECARS, false),
        /** It reads its configuration again. */
        RELOAD(Aim.SIDECARS, false),
        /** A second process is started at its name and address. */
        TWIN(Aim.SIDECARS, false),
        /** It does not start with the others, but at the fault's end. */
        LATE(Aim.SIDECARS, true),
        HANG(Aim.ENDPOINTS, false),
        ERROR(Aim.ENDPOINTS, false),
        SLOW(Aim.ENDPOINTS, false),
        RESET(Aim.ENDPOINTS, false),
        HALF(Aim.ENDPOINTS, false),
        DEAF(Aim.ENDPOINTS, false),
        /** An endpoint's process dies; at the fault's end it starts again, cold. */
        DIE(Aim.ENDPOINTS, false),
        /** It is told to drain, and discovery tells so; at the fault's end it starts again, cold. */
        DRAIN(Aim.ENDPOINTS, false),
        SILENT(Aim.DISCOVERY, false),
        DOWN(Aim.DISCOVERY, false),
        WRONG(Aim.DISCOVERY, false),
        /** Links have the conduct that the fault says. */
        LINK(Aim.LINKS, false),
        /** All connections of links are reset, once. */
        BREAK(Aim.LINKS, false);

        private final Aim aim;
        private final boolean mustEnd;

        What(Aim aim, boolean mustEnd) {
            this.aim = aim;
            this.mustEnd = mustEnd;
        }

        public Aim aim() {
            return aim;
        }

        /** Whether it has to say how long it lasts. */
        public boolean mustEnd() {
            return mustEnd;
        }

        /** Its word in files. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        static What parse(String text) {
            return Arrays.stream(values())
                    .filter(one -> one.word().equals(text))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("fault.do must be one of "
                            + Arrays.stream(values()).map(What::word).toList() + " but is \"" + text + "\""));
        }
    }

    public Fault {
        who = List.copyOf(who);
        to = List.copyOf(to);
    }

    /** When it is over, since the run's start. */
    public double endMs() {
        return atMs + forMs;
    }

    /** Whether a name is a sidecar's. */
    public static boolean isSidecar(String name) {
        return name.matches("n\\d+");
    }

    /** Whether it is one of a link between these two, in either direction. */
    public boolean isOn(String one, String other) {
        return what.aim() == Aim.LINKS
                && (who.contains(one) && to.contains(other) || who.contains(other) && to.contains(one));
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%.1f s: %s of %s%s%s",
                atMs / 1000,
                what.word(),
                String.join(" ", who),
                to.isEmpty() ? "" : " to " + String.join(" ", to),
                Double.isInfinite(forMs) ? "" : String.format(Locale.ROOT, " for %.1f s", forMs / 1000));
    }
}
