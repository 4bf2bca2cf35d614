package martenlatch.fleet.scenario;

/**
 * What must hold at the end, beside the four rules, which always must.
 *
 * @param recoverySeconds from the end of the last fault until service is back at 0.95 of what it was before
 * the first
 * @param amplification attempts for each request, over the run
 * @param served the least share of what clients wanted that is served over the whole run
 * @param listRefusals the most calls to discovery that are turned away as they waited too long
 */
public record Hold(double recoverySeconds, double amplification, double served, double listRefusals) {

    public Hold {
        if (!(recoverySeconds >= 0)) {
            throw new IllegalArgumentException("hold.recovery-seconds must be 0 or more but is " + recoverySeconds);
        }
        if (!(amplification >= 1)) {
            throw new IllegalArgumentException("hold.amplification must be 1 or more but is " + amplification);
        }
        if (!(served >= 0 && served <= 1)) {
            throw new IllegalArgumentException("hold.served must be 0 to 1 but is " + served);
        }
        if (!(listRefusals >= 0)) {
            throw new IllegalArgumentException("hold.list-refusals must be 0 or more but is " + listRefusals);
        }
    }
}
