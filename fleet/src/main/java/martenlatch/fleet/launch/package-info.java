/**
 * Starts sidecars as separate processes with the options of the deploy file, sends signals to them and ensures that
 * none outlives the test rig. Depends on the operating system's processes and on no other package of this module.
 */
package martenlatch.fleet.launch;
