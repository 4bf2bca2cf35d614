package martenlatch.fleet.judge;

/**
 * A violation that a check found in a run. The component names are fields of the JSON report.
 *
 * @param judge the name of the check: lost, twice, drain, cold, crash, hold, or rig if the test rig was at fault
 * @param id the id of the request, or empty
 * @param atMs the time of the violation, since the start of the run
 * @param what a description of the violation
 */
public record Finding(String judge, String id, double atMs, String what) {}
