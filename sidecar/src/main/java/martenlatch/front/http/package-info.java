/**
 * Clients over HTTP/1.1: their connections, what is a request, and the answers in order.
 * It may use the host, what goes upstream, and the policy's words; it never picks an endpoint.
 */
package martenlatch.front.http;
