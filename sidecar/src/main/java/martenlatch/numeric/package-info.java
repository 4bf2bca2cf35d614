/**
 * Estimators, token buckets and hashes that are independent of requests and endpoints. This package may depend on the
 * Java platform only.
 */
package martenlatch.numeric;
