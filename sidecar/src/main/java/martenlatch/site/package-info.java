/**
 * Reads the configuration of a site, which is the same for every frontend: addresses, limits, request classes and the
 * cached endpoint list. May depend on {@code config}, {@code request}, {@code policy.api} and the endpoint list decoder
 * of {@code discovery}.
 */
package martenlatch.site;
