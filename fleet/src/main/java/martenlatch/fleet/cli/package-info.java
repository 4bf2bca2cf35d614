/** The command line of the fleet test rig. The logic of the commands is in other packages. */
package martenlatch.fleet.cli;
