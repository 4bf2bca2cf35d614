package martenlatch.world;

import java.util.Arrays;
import java.util.Locale;

/**
 * An event scheduled in an emulated world.
 *
 * @param atSeconds time since the start of the world
 * @param endpoint number of the affected endpoint, or -1
 * @param zone zone whose endpoints are all affected, or empty
 * @param ms duration or delay, for actions that have one; else NaN
 */
public record ScheduledEvent(double atSeconds, Action action, int endpoint, String zone, double ms) {

    /** What an event does. */
    public enum Action {
        /** The endpoint holds back its answers for the event's duration. */
        STALL(true, true),
        /** The endpoint gets {@link EndpointFault#HANGS}; the following actions set the fault of like name. */
        HANG(true, false),
        RESET(true, false),
        HALF(true, false),
        TWICE(true, false),
        GARBLE(true, false),
        ERROR(true, false),
        SLOW(true, false),
        DEAF(true, false),
        /** The endpoint has no fault any more. */
        RECOVER(true, false),
        /** The endpoint begins to drain, and discovery lists it as terminating. */
        DRAIN(true, false),
        /** The endpoint crashes; its entry in discovery does not change. */
        DIE(true, false),
        /** Discovery lists the endpoint as terminated. */
        REMOVE(true, false),
        /** The endpoint restarts, cold, and discovery lists it as in service. */
        RESTART(true, false),
        /** Discovery does not answer. */
        DISCOVERY_SILENT(false, false),
        /** Discovery answers with status 503. */
        DISCOVERY_DOWN(false, false),
        /** Discovery answers with an invalid list. */
        DISCOVERY_WRONG(false, false),
        /** Discovery delays its answers by the event's delay. */
        DISCOVERY_LATE(false, true),
        /** Discovery answers normally and without delay. */
        DISCOVERY_GOOD(false, false);

        private final boolean toEndpoints;
        private final boolean timed;

        Action(boolean toEndpoints, boolean timed) {
            this.toEndpoints = toEndpoints;
            this.timed = timed;
        }

        static Action parse(String text) {
            for (Action action : values()) {
                if (action.text().equals(text)) {
                    return action;
                }
            }
            throw new IllegalArgumentException("event.do must be one of "
                    + Arrays.stream(values()).map(Action::text).toList() + " but is \"" + text + "\"");
        }

        String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    ScheduledEvent checkedWith(WorldSettings settings) {
        if (!(atSeconds >= 0 && atSeconds <= 1e6)) {
            throw new IllegalArgumentException("event.at must be 0 to 1000000 seconds but is " + atSeconds);
        }
        if (action.toEndpoints && (endpoint < 0) == zone.isEmpty()) {
            throw new IllegalArgumentException("event.endpoint or event.zone must say which endpoints " + action.text()
                    + " affects; set exactly one of them");
        }
        if (endpoint >= settings.endpoints() || endpoint < -1) {
            throw new IllegalArgumentException(
                    "event.endpoint must be 0 to " + (settings.endpoints() - 1) + " but is " + endpoint);
        }
        if (!zone.isEmpty() && !settings.zones().contains(zone)) {
            throw new IllegalArgumentException(
                    "event.zone must be one of " + settings.zones() + " but is \"" + zone + "\"");
        }
        if (action.timed && !(ms >= 0 && ms <= 600_000)) {
            throw new IllegalArgumentException("event.ms must be 0 to 600000 but is " + ms);
        }
        return this;
    }

    /** Applies the event to a world. */
    public void applyTo(World world) {
        if (!action.toEndpoints) {
            switch (action) {
                case DISCOVERY_SILENT -> world.discovery().manner(Discovery.Mode.SILENT);
                case DISCOVERY_DOWN -> world.discovery().manner(Discovery.Mode.DOWN);
                case DISCOVERY_WRONG -> world.discovery().manner(Discovery.Mode.WRONG);
                case DISCOVERY_LATE -> world.discovery().late(ms);
                default -> {
                    world.discovery().late(0);
                    world.discovery().manner(Discovery.Mode.GOOD);
                }
            }
            return;
        }
        for (int i = 0; i < world.endpoints().size(); i++) {
            if (i == endpoint
                    || !zone.isEmpty() && world.endpoints().get(i).zone().equals(zone)) {
                applyTo(world, i);
            }
        }
    }

    private void applyTo(World world, int number) {
        Endpoint target = world.endpoints().get(number);
        switch (action) {
            case STALL -> target.stall(ms);
            case HANG -> target.trouble(EndpointFault.HANGS);
            case RESET -> target.trouble(EndpointFault.RESETS);
            case HALF -> target.trouble(EndpointFault.HALF);
            case TWICE -> target.trouble(EndpointFault.TWICE);
            case GARBLE -> target.trouble(EndpointFault.GARBLES);
            case ERROR -> target.trouble(EndpointFault.ERRORS);
            case SLOW -> target.trouble(EndpointFault.SLOW);
            case DEAF -> target.trouble(EndpointFault.DEAF);
            case RECOVER -> target.trouble(EndpointFault.NONE);
            case DRAIN -> world.drain(number);
            case DIE -> world.die(number);
            case REMOVE -> world.remove(number);
            case RESTART -> world.restart(number);
            default -> throw new IllegalStateException(action.text());
        }
    }

    @Override
    public String toString() {
        return action.text()
                + (endpoint >= 0 ? " s" + endpoint : "")
                + (zone.isEmpty() ? "" : " zone " + zone)
                + (Double.isNaN(ms) ? "" : " " + (long) ms + " ms");
    }
}
