/**
 * Tracks pending requests, their attempts and timers, and gives each request exactly one final answer.
 * May depend on {@code policy}, but not on any protocol, frontend or transport implementation.
 */
package martenlatch.request;
