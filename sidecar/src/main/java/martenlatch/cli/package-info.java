/** The command line: its commands and their exit status. It may use every package, and decides nothing. */
package martenlatch.cli;
