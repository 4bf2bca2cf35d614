/**
 * Manages connections to endpoints, sends attempts on them and decodes their responses. This package never retries by
 * itself. It may use the packages {@code request}, {@code policy.api} and {@code net}, and Netty.
 */
package martenlatch.upstream;
