/**
 * What is believed of endpoints, by its sources; today discovery's watch.
 * It may use the host and the configuration; no source is known above it.
 */
package martenlatch.discovery;
