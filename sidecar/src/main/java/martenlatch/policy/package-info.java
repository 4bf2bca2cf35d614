/**
 * The load balancer: admission, endpoint choice, concurrency limit, retries, outlier ejection and slow start. It
 * depends only on {@code policy.api} and {@code numeric}, and uses no I/O, no clock and no library.
 */
package martenlatch.policy;
