/**
 * Starts sidecars as processes of their own with the options of the deploy file, signals them, and sees to
 * it that none outlives the rig. It uses the system's processes and nothing of the other rooms.
 */
package martenlatch.fleet.launch;
