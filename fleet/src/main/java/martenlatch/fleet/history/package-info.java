/**
 * What every side of a run has seen, on one clock. It uses nothing of the other rooms, and judges read it.
 */
package martenlatch.fleet.history;
