/**
 * The command line: which command was asked for, and its exit status.
 * It may use every room, and decides nothing.
 */
package martenlatch.cli;
