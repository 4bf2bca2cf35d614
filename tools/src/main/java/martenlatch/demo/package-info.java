/**
 * Demonstrates a sidecar with an emulated world, a load and scheduled faults in one process. May use the load
 * generator, the world and the sidecar's start class.
 */
package martenlatch.demo;
