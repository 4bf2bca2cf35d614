/**
 * Polls, watches and decodes the endpoint list of discovery. A change of the list counts as notified from the time at
 * which the operators' check expects this process to act on it, whether or not the change has arrived by then.
 * May depend on {@code request}, {@code policy.api}, {@code config}, {@code net}, {@code numeric} and Netty.
 */
package martenlatch.discovery;
