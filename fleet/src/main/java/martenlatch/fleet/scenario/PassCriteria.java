package martenlatch.fleet.scenario;

/**
 * What a scenario requires of a run in addition to the rules that apply to every run.
 *
 * @param maxRecoverySeconds the longest time from the end of the last fault until the served share is back at 0.95 of
 *     its value before the first fault
 * @param maxAmplification the largest number of attempts per request over the run
 * @param minServedShare the smallest share of the clients' requests that must be served over the run
 * @param maxListRefusals the largest number of calls to discovery that may be rejected because they waited too long
 */
public record PassCriteria(
        double maxRecoverySeconds, double maxAmplification, double minServedShare, double maxListRefusals) {

    public PassCriteria {
        if (!(maxRecoverySeconds >= 0)) {
            throw new IllegalArgumentException("hold.recovery-seconds must be 0 or more but is " + maxRecoverySeconds);
        }
        if (!(maxAmplification >= 1)) {
            throw new IllegalArgumentException("hold.amplification must be 1 or more but is " + maxAmplification);
        }
        if (!(minServedShare >= 0 && minServedShare <= 1)) {
            throw new IllegalArgumentException("hold.served must be 0 to 1 but is " + minServedShare);
        }
        if (!(maxListRefusals >= 0)) {
            throw new IllegalArgumentException("hold.list-refusals must be 0 or more but is " + maxListRefusals);
        }
    }
}
