package martenlatch.discovery;

import martenlatch.policy.EndpointListAge;
import martenlatch.policy.api.BalancerSettings;
import martenlatch.request.EndpointList;
import martenlatch.request.RateLimitedLogger;
import martenlatch.request.Scheduler;

/**
 * Notifies the listener when requests may no longer be forwarded by the endpoint list in use, and when they may again,
 * and logs both. {@link EndpointListAge} decides; this class adds the timer at which a doubt ends forwarding.
 */
final class ForwardingMonitor {

    /** At the start nothing is logged before this time: a sound agent answers within it, and no client is there yet. */
    private static final double START_LOG_DELAY_MS = 1000;

    private final Scheduler scheduler;
    private final RateLimitedLogger logger;
    private final EndpointListAge age;
    private EndpointList.Listener listener;
    private boolean allowed = true;
    /** Whether the log says that requests are held back. */
    private boolean isSuspensionLogged;

    private double suspendedAtMs;
    private Scheduler.Timer timer;

    ForwardingMonitor(Scheduler scheduler, RateLimitedLogger logger, EndpointListAge age) {
        this.scheduler = scheduler;
        this.logger = logger;
        this.age = age;
    }

    /** Sets the listener, and notifies it at once if requests may not be forwarded. */
    void setListener(EndpointList.Listener next) {
        listener = next;
        update();
    }

    void onMoved() {
        age.onMoved(scheduler.now());
        update();
    }

    void onSettingsChanged(BalancerSettings settings) {
        age.onSettingsChanged(settings);
        update();
    }

    void onWatchBroken() {
        age.onWatchBroken(scheduler.now());
        update();
    }

    void onResponseStarted() {
        age.onResponseStarted(scheduler.now());
        update();
    }

    void onTrusted() {
        age.onTrusted();
        update();
    }

    /** Called after an event that may have changed the decision, once the listener knows the list of that event. */
    void update() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
        double nowMs = scheduler.now();
        boolean mayForward = age.mayForward(nowMs);
        if (mayForward != allowed) {
            allowed = mayForward;
            onChanged(nowMs);
            listener.onForwardingChanged(allowed);
        }
        if (allowed && age.forwardUntilMs() < Double.POSITIVE_INFINITY) {
            timer = scheduler.after(age.forwardUntilMs() - nowMs, this::update);
        }
    }

    private void onChanged(double nowMs) {
        if (allowed) {
            logResumption(nowMs);
            return;
        }
        suspendedAtMs = nowMs;
        if (age.doubt() == EndpointListAge.Doubt.NEVER_CONFIRMED) {
            scheduler.after(START_LOG_DELAY_MS, this::logSuspension);
        } else {
            logSuspension();
        }
    }

    private void logSuspension() {
        if (!allowed) {
            isSuspensionLogged = true;
            logger.log("requests are held back", age.doubt().description());
        }
    }

    private void logResumption(double nowMs) {
        if (isSuspensionLogged) {
            isSuspensionLogged = false;
            String reason = age.isTrusted() ? "an operator trusts the endpoint list" : "the endpoint list is confirmed";
            logger.log("requests are forwarded again", reason + " after " + Math.round(nowMs - suspendedAtMs) + " ms");
        }
    }
}
