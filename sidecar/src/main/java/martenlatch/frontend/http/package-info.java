/**
 * HTTP/1.1 from clients: connections, request decoding, limits, and responses in the order of their requests. It may
 * use the packages {@code frontend}, {@code request}, {@code upstream}, {@code policy.api} and {@code net}, and Netty;
 * it never picks an endpoint.
 */
package martenlatch.frontend.http;
