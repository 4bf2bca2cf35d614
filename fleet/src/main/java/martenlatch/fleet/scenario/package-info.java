/**
 * Describes a run: the size of the fleet, its load, its faults and its pass criteria. A scenario is read from a file;
 * its plan of faults follows from the file and the seed. The package does no other I/O.
 */
package martenlatch.fleet.scenario;
