package martenlatch.discovery;

import java.util.OptionalLong;
import java.util.function.Supplier;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * When discovery is asked, for what, and how long an answer is waited for: call after call, until one fails.
 * In which way to go on then is for whoever listens: it calls {@link #watch} again. No I/O: whoever carries
 * calls out tells what comes of each by its number, and what comes of one that is over changes nothing.
 */
public final class EndpointListWatcher {

    /** What a call for the whole list may take, which waits for its turn only; a connection may as well. */
    public static final int SILENCE_MS = 2_000;

    /**
     * One call.
     *
     * @param number tells it from all others of this watch
     * @param index what is known already: wanted is what is newer; none for the whole list
     * @param pace how long discovery may wait for something newer, and what it owes
     */
    public record Call(long number, OptionalLong index, PollTiming pace) {
        /** What is asked for, as the protocol's page has it. */
        public String path() {
            return "/registry/instances"
                    + (index.isPresent() ? "?index=" + index.getAsLong() + "&wait=" + pace.waitMs() : "");
        }

        /** When it is over without an answer, in milliseconds from its start. */
        double overAfterMs() {
            return index.isPresent() ? pace.waitMs() + pace.owedMs() : pace.wholeMs();
        }
    }

    /** Carries calls out, one at a time. */
    public interface Line {
        /** Asks; the end comes as {@link #answered} or {@link #failed}, or not at all. */
        void call(Call call);

        /** What is out is of no more use, and neither is what it goes over. */
        void drop();
    }

    private final Scheduler time;
    private final Line line;
    private final RateLimitedLogger complaints;
    /** That of the next call. */
    private final Supplier<PollTiming> pace;

    private EndpointList.Listener listener;
    /** What is known of the list at this place; none calls for the whole of it. */
    private OptionalLong version = OptionalLong.empty();

    private long calls;
    /** The call that is out, until when its answer may come, and whether that has begun to come. */
    private Call out;

    private Scheduler.Timer silence;
    private double overAt;
    private boolean begun;
    /** The answer before broke off: a discovery that always does is left alone for a while. */
    private boolean brokeOff;
    /** Set while a first call at a new place waits for its turn. */
    private Scheduler.Timer due;

    /** A watch whose calls have the pace that {@code pace} says, asked before each. */
    public EndpointListWatcher(Scheduler time, Line line, RateLimitedLogger complaints, Supplier<PollTiming> pace) {
        this.time = time;
        this.line = line;
        this.complaints = complaints;
        this.pace = pace;
    }

    /**
     * Sidecars that are moved together must not ask together: each asks at a random time within so many
     * milliseconds, as at a start, and a sidecar alone at once. Nothing is spread where lists are pushed.
     */
    public static double spreadMs(BalancerSettings settings) {
        return settings.pollsEndpointList()
                ? settings.rules().pollIntervalMs() / 2 * (1 - 1.0 / settings.balancerCount())
                : 0;
    }

    /** Who hears of lists, and which version is known already. */
    public void listen(EndpointList.Listener hearer, long known) {
        listener = hearer;
        version = OptionalLong.of(known);
    }

    /** Starts a watch; one that is on goes on, and its next answer serves for both. */
    public void watch() {
        if (out != null) {
            return;
        }
        if (due != null) {
            due.cancel();
            due = null;
        }
        out = new Call(++calls, version, pace.get());
        begun = false;
        await(out.overAfterMs());
        line.call(out);
    }

    private void await(double ms) {
        overAt = time.now() + ms;
        silence = time.after(ms, this::silent);
    }

    /** The first of an answer has come: from then on the whole of it is owed. */
    public void begun(long call) {
        if (!isOut(call) || begun) {
            return;
        }
        begun = true;
        if (overAt - time.now() > out.pace().owedMs()) {
            silence.cancel();
            await(out.pace().owedMs());
        }
    }

    /**
     * No answer, or not the whole of one. Whatever a silent watch has missed counts as told soon, and that it
     * was asked for long ago is of no use: it is opened anew at once.
     */
    private void silent() {
        Call over = out;
        if (over.index().isEmpty() || begun && brokeOff) {
            failed(over.number(), "no answer in time");
            return;
        }
        boolean broken = begun;
        over();
        line.drop();
        brokeOff = broken;
        complaints.log(
                "discovery fell silent",
                broken ? "in the middle of an answer" : "no answer after " + Math.round(over.overAfterMs()) + " ms");
        watch();
    }

    /**
     * Goes on at another place, without a word of failure. Versions are counted anew there, so it is asked
     * for the whole list.
     *
     * @param afterMs when, in milliseconds: where a fleet is moved together, and each asks for the whole list
     *     at once, most of them are refused; 0 for at once
     */
    public void moved(double afterMs) {
        version = OptionalLong.empty();
        over();
        line.drop();
        if (due != null) {
            due.cancel();
            due = null;
        }
        if (afterMs <= 0) {
            watch();
        } else {
            due = time.after(afterMs, this::watch);
        }
    }

    /** A list has come. The next call goes out first: it must come soon for the watch to go on. */
    public void answered(long call, EndpointList list) {
        if (!isOut(call)) {
            return;
        }
        over();
        brokeOff = false;
        version = OptionalLong.of(list.version());
        watch();
        listener.onEndpointList(list);
    }

    /** Nothing will come of a call. */
    public void failed(long call, Object why) {
        if (!isOut(call)) {
            return;
        }
        over();
        brokeOff = false;
        line.drop();
        complaints.log("discovery failed", why);
        listener.onPollFailed();
    }

    private boolean isOut(long call) {
        return out != null && call == out.number();
    }

    private void over() {
        if (out != null) {
            out = null;
            silence.cancel();
        }
    }
}
