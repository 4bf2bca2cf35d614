/**
 * Puts a run together: processes, links, endpoints, load and faults, each in its time. It decides nothing
 * about what a run has shown.
 */
package martenlatch.fleet.rig;
