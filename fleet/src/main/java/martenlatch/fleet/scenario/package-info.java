/**
 * What a run is to be: sizes, load, faults and what must hold, read from a file, and the plan that follows
 * from it and its seed. It has no I/O but the reading of that file.
 */
package martenlatch.fleet.scenario;
