package martenlatch.sidecar;

import martenlatch.policy.api.RequestClass;
import martenlatch.site.SiteConfig;

/** The configuration in force. It is read and replaced on the event loop; only its longest deadline is for others. */
final class CurrentConfiguration {

    private SiteConfig config;
    /** Written once for each configuration: a shutdown reads it on its own thread, perhaps during a reload. */
    private volatile long maxDeadlineMs;

    CurrentConfiguration(SiteConfig config) {
        replace(config);
    }

    SiteConfig get() {
        return config;
    }

    void replace(SiteConfig next) {
        config = next;
        long max = 0;
        for (RequestClass requestClass : next.settings().classes()) {
            max = Math.max(max, (long) requestClass.deadlineMs());
        }
        maxDeadlineMs = max;
    }

    /** The longest deadline of any request class, in milliseconds; may be called from any thread. */
    long maxDeadlineMs() {
        return maxDeadlineMs;
    }
}
