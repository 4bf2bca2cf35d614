/**
 * Numeric tools that know nothing of requests or endpoints: estimators, token buckets, hashes.
 * May depend on the Java platform only.
 */
package martenlatch.numeric;
