package martenlatch.fleet.scenario;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import martenlatch.fleet.link.LinkConditions;

/**
 * One fault of a plan, with the parts of the fleet that it affects.
 *
 * @param number its position in the scenario, from 0; it stays the same when a plan is shrunk
 * @param atMs when it begins, since the start of the run
 * @param forMs how long it lasts; infinite if it never ends
 * @param who the processes, endpoints or discovery that it affects; for links, their senders
 * @param to for links, their targets
 * @param onwards for links, how data from sender to target is treated
 * @param backwards for links, how data from target to sender is treated
 * @param share for {@link What#CRAWL}, the share of the process's speed that is left
 * @param jar for {@link What#RESTART}, the jar of the build to start, or empty for the same build
 * @param moves for {@link What#RELOAD}, whether the new configuration names another discovery
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

    /** The kind of part that a fault affects. */
    public enum Aim {
        SIDECARS,
        ENDPOINTS,
        DISCOVERY,
        LINKS
    }

    /** Kinds of faults. */
    public enum What {
        /** The process is paused (SIGSTOP). */
        PAUSE(Aim.SIDECARS, true),
        /** The process is paused and resumed in turn, so that it runs at a share of its speed. */
        CRAWL(Aim.SIDECARS, true),
        /** The process is killed; when the fault ends, it starts again. */
        KILL(Aim.SIDECARS, false),
        /** The process is asked to exit; it starts again once it has exited and the fault is over. */
        TERM(Aim.SIDECARS, false),
        /** The process is asked to exit and starts again as soon as it has, possibly from the jar of another build. */
        RESTART(Aim.SIDECARS, false),
        /** The process reloads its configuration. */
        RELOAD(Aim.SIDECARS, false),
        /** A second process is started with the name and address of the first. */
        TWIN(Aim.SIDECARS, false),
        /** The process does not start with the others but when the fault ends. */
        LATE(Aim.SIDECARS, true),
        /** The endpoint runs requests and never answers them. */
        HANG(Aim.ENDPOINTS, false),
        /** The endpoint answers every request with status 500. */
        ERROR(Aim.ENDPOINTS, false),
        /** The endpoint takes ten times as long for each request. */
        SLOW(Aim.ENDPOINTS, false),
        /** The endpoint runs requests and breaks the connection instead of answering. */
        RESET(Aim.ENDPOINTS, false),
        /** The endpoint runs requests and breaks the connection in the middle of the answer. */
        HALF(Aim.ENDPOINTS, false),
        /** The endpoint accepts connections and never reads from them. */
        DEAF(Aim.ENDPOINTS, false),
        /** The process of an endpoint dies; when the fault ends, it starts again, cold. */
        DIE(Aim.ENDPOINTS, false),
        /** The endpoint drains, and discovery lists it as draining; when the fault ends, it starts again, cold. */
        DRAIN(Aim.ENDPOINTS, false),
        /** Discovery does not answer calls. */
        SILENT(Aim.DISCOVERY, false),
        /** Discovery answers calls with status 503. */
        DOWN(Aim.DISCOVERY, false),
        /** Discovery answers calls with data that is no endpoint list. */
        WRONG(Aim.DISCOVERY, false),
        /** Links treat data as the fault describes. */
        LINK(Aim.LINKS, false),
        /** All connections of the links are reset once. */
        BREAK(Aim.LINKS, false),
        /** The open connections of the links fall silent and are reset in the end; new ones work. */
        STALL(Aim.LINKS, true);

        private final Aim aim;
        private final boolean mustEnd;

        What(Aim aim, boolean mustEnd) {
            this.aim = aim;
            this.mustEnd = mustEnd;
        }

        public Aim aim() {
            return aim;
        }

        /** Returns whether a fault of this kind must have a duration. */
        public boolean mustEnd() {
            return mustEnd;
        }

        /** Returns the name of this kind in scenario files. */
        public String word() {
            return name().toLowerCase(Locale.ROOT);
        }

        static What parse(String text) {
            return Arrays.stream(values())
                    .filter(kind -> kind.word().equals(text))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("fault.do must be one of "
                            + Arrays.stream(values()).map(What::word).toList() + " but is \"" + text + "\""));
        }
    }

    public Fault {
        who = List.copyOf(who);
        to = List.copyOf(to);
    }

    /** Returns when the fault ends, since the start of the run. */
    public double endMs() {
        return atMs + forMs;
    }

    /** Returns whether a name is that of a sidecar. */
    public static boolean isSidecar(String name) {
        return name.matches("n\\d+");
    }

    /** Returns whether the fault is on a link between these two, in either direction. */
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
