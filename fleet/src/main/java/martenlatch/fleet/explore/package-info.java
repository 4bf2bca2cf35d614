/**
 * Looks for fault plans that break something: draws them at random within bounds, and cuts one that does
 * down to the faults that matter. It decides only; what a plan comes to is for whoever plays it.
 */
package martenlatch.fleet.explore;
