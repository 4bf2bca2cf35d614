/**
 * Code shared by all frontends: parsing request heads and enforcing their limits. This package may use
 * {@code policy.api}.
 */
package martenlatch.frontend;
