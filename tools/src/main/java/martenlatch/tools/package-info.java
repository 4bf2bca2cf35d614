/**
 * The command line of the tools: load, world, demo. May use every package of this module, and through the demo the
 * sidecar.
 */
package martenlatch.tools;
