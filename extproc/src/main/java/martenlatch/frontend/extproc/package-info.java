/**
 * Other proxies over gRPC (Envoy's external processing): each of their requests is a processing stream, answered by the
 * same load balancer. It may use {@code frontend}, {@code request} and {@code policy.api}; it sends nothing to
 * endpoints itself.
 */
package martenlatch.frontend.extproc;
