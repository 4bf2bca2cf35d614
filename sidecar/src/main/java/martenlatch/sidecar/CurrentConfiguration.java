package martenlatch.sidecar;

import martenlatch.policy.api.RequestClass;
import martenlatch.site.SiteConfig;

/**
 * Holds the configuration in force. It is read and replaced on the event loop; only {@link #maxDeadlineMs} may be
 * called from other threads.
 */
final class CurrentConfiguration {

    private SiteConfig config;
    /** Written once per configuration, as the shutdown thread may read it while a reload replaces the configuration. */
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

    /** Returns the longest deadline of any request class, in milliseconds; may be called from any thread. */
    long maxDeadlineMs() {
        return maxDeadlineMs;
    }
}
