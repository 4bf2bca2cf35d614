package martenlatch.fleet.judge;

/**
 * Something that should not have been.
 *
 * @param judge who found it: lost, twice, drain, cold, hold, or rig where the run itself was spoilt
 * @param id the request's, or empty
 * @param atMs when, since the run's start
 */
public record Finding(String judge, String id, double atMs, String what) {}
