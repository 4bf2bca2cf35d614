/**
 * Open calls, their attempts and timers, and exactly one final answer for each.
 * It may use the policy; it knows no protocol, and no front or carrier.
 */
package martenlatch.host;
