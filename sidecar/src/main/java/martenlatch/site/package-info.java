/**
 * The configuration of an installation, whichever frontend it runs: addresses, limits, classes, the list known so far.
 * It may use {@code config}, {@code discovery}'s list decoder, {@code request} and {@code policy.api}.
 */
package martenlatch.site;
