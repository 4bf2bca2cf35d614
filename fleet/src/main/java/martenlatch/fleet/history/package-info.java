/**
 * Records what happens during a run, on one clock. The package depends on no other package of the fleet module.
 */
package martenlatch.fleet.history;
