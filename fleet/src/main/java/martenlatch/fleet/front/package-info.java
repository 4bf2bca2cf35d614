/** Distributes clients' requests among sidecars, for real processes and for the simulation. It does no I/O. */
package martenlatch.fleet.front;
