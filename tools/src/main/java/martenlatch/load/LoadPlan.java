package martenlatch.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * What a run does.
 *
 * @param targets where requests go, in turn
 * @param workers threads that send, each with an event loop of its own
 * @param connections that there may be at once, over all workers
 * @param warmSeconds sent first, and in no figure
 */
public record LoadPlan(List<InetSocketAddress> targets, int workers, int connections, double warmSeconds) {

    public LoadPlan {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("targets must name an address but is empty");
        }
        if (workers < 1 || workers > 64) {
            throw new IllegalArgumentException("workers must be 1 to 64 but is " + workers);
        }
        if (connections < workers || connections > 100_000) {
            throw new IllegalArgumentException(
                    "connections must be workers (" + workers + ") to 100000 but is " + connections);
        }
        if (!(warmSeconds >= 0 && warmSeconds <= 3600)) {
            throw new IllegalArgumentException("warm-seconds must be 0 to 3600 but is " + warmSeconds);
        }
    }
}
