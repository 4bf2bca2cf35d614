package martenlatch.fleet.scenario;

import java.util.List;
import martenlatch.load.LoadClass;

/**
 * What clients want.
 *
 * @param rate requests a second over all sidecars, first tries
 * @param skew how many times as much the busiest sidecar gets as the quietest; 1 for all alike
 * @param noticeMs how long clients go on to a sidecar that is down
 */
public record Load(double rate, double skew, double noticeMs, List<ClassOf> classes) {

    /** A class of requests, for clients and for sidecars. */
    public record ClassOf(LoadClass kind, double aimMs, double worth) {
        public ClassOf {
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
            throw new IllegalArgumentException("class must be there at least once ([[class]])");
        }
    }
}
