package martenlatch.load;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The targets and resources of a load run.
 *
 * @param targets addresses to which connections are opened, in turn
 * @param workers number of sending threads, each with its own event loop
 * @param connections maximum number of open connections of all workers together
 * @param warmSeconds length of the warm-up at the start, which is not counted in the results
 */
public record LoadPlan(List<InetSocketAddress> targets, int workers, int connections, double warmSeconds) {

    public LoadPlan {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("targets must name at least one address but is empty");
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
