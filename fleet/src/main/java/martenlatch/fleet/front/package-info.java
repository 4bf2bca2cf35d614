/** Deals out clients' requests among sidecars, the same for real processes and in simulation. No I/O. */
package martenlatch.fleet.front;
