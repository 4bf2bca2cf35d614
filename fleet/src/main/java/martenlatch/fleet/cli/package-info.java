/** The command line of the fleet's rig: one class a command, no logic. */
package martenlatch.fleet.cli;
