/**
 * The command line: its commands and their exit statuses. This package may depend on every other package and contains
 * no load balancing logic.
 */
package martenlatch.cli;
