package martenlatch.fleet.scenario;

import java.util.List;
import martenlatch.load.LoadClass;

/**
 * The load that clients put on the fleet.
 *
 * @param rate requests per second over all sidecars, without clients' retries
 * @param skew the ratio of the loads of the busiest and the least busy sidecar; 1 for equal loads
 * @param noticeMs how long clients keep sending to a sidecar that is down
 * @param classes the request classes
 */
public record Load(double rate, double skew, double noticeMs, List<ClassSettings> classes) {

    /**
     * A request class, as clients and sidecars are configured with it.
     *
     * @param kind the requests that clients send
     * @param aimMs the latency objective
     * @param worth the priority weight
     */
    public record ClassSettings(LoadClass kind, double aimMs, double worth) {
        public ClassSettings {
            if (!(aimMs > 0 && aimMs <= kind.deadlineMs())) {
                throw new IllegalArgumentException("class.aim-ms must be above 0 and within deadline-ms ("
                        + kind.deadlineMs() + ") but is " + aimMs);
            }
            if (!(worth > 0 && worth <= 1e6)) {
                throw new IllegalArgumentException("class.worth must be above 0 but is " + worth);
            }
        }
    }

    public Load {
        classes = List.copyOf(classes);
        if (!(rate >= 1 && rate <= 50_000)) {
            throw new IllegalArgumentException("load.rate must be 1 to 50000 but is " + rate);
        }
        if (!(skew >= 1 && skew <= 1000)) {
            throw new IllegalArgumentException("load.skew must be 1 to 1000 but is " + skew);
        }
        if (!(noticeMs >= 0 && noticeMs <= 600_000)) {
            throw new IllegalArgumentException("load.notice-ms must be 0 to 600000 but is " + noticeMs);
        }
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("at least one [[class]] is required but there is none");
        }
    }
}
