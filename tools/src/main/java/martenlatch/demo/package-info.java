/**
 * A world, a sidecar and a load in one process, with trouble half way, for people who want to see it work. It
 * may use the load generator, the world and the sidecar's assembly.
 */
package martenlatch.demo;
