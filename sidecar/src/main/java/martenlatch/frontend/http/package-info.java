/**
 * The HTTP/1.1 frontend: client connections, request decoding, limits, and responses in the order of their requests.
 * This package may use {@code frontend}, {@code request}, {@code upstream}, {@code policy.api}, {@code net} and Netty;
 * it does not select endpoints.
 */
package martenlatch.frontend.http;
