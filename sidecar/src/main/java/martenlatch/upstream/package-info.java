/**
 * Connections to endpoints, attempts on them, and the decoding of responses; it never retries by itself. It may use
 * the packages {@code request}, {@code policy.api} and {@code net}, and Netty.
 */
package martenlatch.upstream;
