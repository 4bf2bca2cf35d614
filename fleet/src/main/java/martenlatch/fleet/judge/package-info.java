/**
 * What a run has shown: judges read its history and find what broke a rule, by id. No I/O, no clock.
 */
package martenlatch.fleet.judge;
