/**
 * Runs a scenario with real processes: starts processes, links, endpoints and load, and applies faults on time. The
 * judges, not this package, decide what a run has shown.
 */
package martenlatch.fleet.rig;
