/**
 * What an installation is told at its start, whichever front it runs: addresses, limits, classes, the list
 * known so far. It may use the settings' checks, the form of lists, the host's words and the policy's.
 */
package martenlatch.site;
