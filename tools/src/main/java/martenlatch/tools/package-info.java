/**
 * The command line of the tools: load, world, demo. It may use every room of this module, and the sidecar's
 * assembly for the demo.
 */
package martenlatch.tools;
