package martenlatch.world;

import java.util.Arrays;
import java.util.Locale;

/**
 * Something that happens to a world.
 *
 * @param atSeconds after its start
 * @param endpoint to which endpoint, or -1
 * @param zone to which zone's endpoints, all of them, or empty
 * @param ms how long or how late, where that is asked for; else NaN
 */
public record Happening(double atSeconds, What what, int endpoint, String zone, double ms) {

    /** What may happen. */
    public enum What {
        /** The endpoint answers nothing for so many milliseconds. */
        STALL(true, true),
        /** It hangs, as {@link EndpointFault#HANGS}; others likewise. */
        HANG(true, false),
        RESET(true, false),
        HALF(true, false),
        TWICE(true, false),
        GARBLE(true, false),
        ERROR(true, false),
        SLOW(true, false),
        DEAF(true, false),
        /** Its trouble is over. */
        RECOVER(true, false),
        /** It is told to drain, and discovery tells so. */
        DRAIN(true, false),
        /** Its process dies; discovery does not know. */
        DIE(true, false),
        /** Discovery tells that it is gone. */
        REMOVE(true, false),
        /** After a death: it starts again, cold. */
        RESTART(true, false),
        /** Discovery does not answer. */
        DISCOVERY_SILENT(false, false),
        /** It answers 503. */
        DISCOVERY_DOWN(false, false),
        /** It answers with what is no list. */
        DISCOVERY_WRONG(false, false),
        /** It is as late as this. */
        DISCOVERY_LATE(false, true),
        /** It is well again. */
        DISCOVERY_GOOD(false, false);

        private final boolean toEndpoints;
        private final boolean timed;

        What(boolean toEndpoints, boolean timed) {
            this.toEndpoints = toEndpoints;
            this.timed = timed;
        }

        static What parse(String text) {
            for (What one : values()) {
                if (one.text().equals(text)) {
                    return one;
                }
            }
            throw new IllegalArgumentException("event.do must be one of "
                    + Arrays.stream(values()).map(What::text).toList() + " but is \"" + text + "\"");
        }

        String text() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    Happening checkedWith(WorldSettings settings) {
        if (!(atSeconds >= 0 && atSeconds <= 1e6)) {
            throw new IllegalArgumentException("event.at must be 0 to 1000000 seconds but is " + atSeconds);
        }
        if (what.toEndpoints && (endpoint < 0) == zone.isEmpty()) {
            throw new IllegalArgumentException(
                    "event.endpoint or event.zone must say to whom " + what.text() + " happens, one of them");
        }
        if (endpoint >= settings.endpoints() || endpoint < -1) {
            throw new IllegalArgumentException(
                    "event.endpoint must be 0 to " + (settings.endpoints() - 1) + " but is " + endpoint);
        }
        if (!zone.isEmpty() && !settings.zones().contains(zone)) {
            throw new IllegalArgumentException(
                    "event.zone must be one of " + settings.zones() + " but is \"" + zone + "\"");
        }
        if (what.timed && !(ms >= 0 && ms <= 600_000)) {
            throw new IllegalArgumentException("event.ms must be 0 to 600000 but is " + ms);
        }
        return this;
    }

    /** Lets it happen. */
    public void to(World world) {
        if (!what.toEndpoints) {
            switch (what) {
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
                to(world, i);
            }
        }
    }

    private void to(World world, int number) {
        Endpoint one = world.endpoints().get(number);
        switch (what) {
            case STALL -> one.stall(ms);
            case HANG -> one.trouble(EndpointFault.HANGS);
            case RESET -> one.trouble(EndpointFault.RESETS);
            case HALF -> one.trouble(EndpointFault.HALF);
            case TWICE -> one.trouble(EndpointFault.TWICE);
            case GARBLE -> one.trouble(EndpointFault.GARBLES);
            case ERROR -> one.trouble(EndpointFault.ERRORS);
            case SLOW -> one.trouble(EndpointFault.SLOW);
            case DEAF -> one.trouble(EndpointFault.DEAF);
            case RECOVER -> one.trouble(EndpointFault.NONE);
            case DRAIN -> world.drain(number);
            case DIE -> world.die(number);
            case REMOVE -> world.remove(number);
            case RESTART -> world.restart(number);
            default -> throw new IllegalStateException(what.text());
        }
    }

    @Override
    public String toString() {
        return what.text()
                + (endpoint >= 0 ? " s" + endpoint : "")
                + (zone.isEmpty() ? "" : " zone " + zone)
                + (Double.isNaN(ms) ? "" : " " + (long) ms + " ms");
    }
}
