/**
 * Polls, watches and decodes the endpoint list of discovery.
 * May depend on {@code request}, {@code policy.api}, {@code config}, {@code net}, {@code numeric} and Netty.
 */
package martenlatch.discovery;
