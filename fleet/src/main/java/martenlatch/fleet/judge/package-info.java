/**
 * Checks a finished run: each checker reads the recorded history and returns the violations of one rule, with the ids
 * of the requests. The package does no I/O and reads no clock.
 */
package martenlatch.fleet.judge;
