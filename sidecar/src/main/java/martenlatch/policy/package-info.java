/**
 * The load balancer: admission, endpoint choice, concurrency limit, retries, outlier ejection and slow start. It uses
 * {@code policy.api} and {@code numeric} alone: no I/O, no clock, no library.
 */
package martenlatch.policy;
