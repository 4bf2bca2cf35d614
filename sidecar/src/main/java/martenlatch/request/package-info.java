/**
 * Pending requests, their attempts and timers, and exactly one final answer for each.
 * May depend on the policy; knows no protocol, no frontend and no transport.
 */
package martenlatch.request;
