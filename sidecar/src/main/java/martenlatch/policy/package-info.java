/**
 * The decisions: which endpoint, whether again, what is turned away.
 * They use nothing: no I/O, no clock, no library.
 */
package martenlatch.policy;
