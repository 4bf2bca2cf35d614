/**
 * What all frontends share: parsing the head of a request, and the limits on it. It may use {@code policy.api}.
 */
package martenlatch.frontend;
