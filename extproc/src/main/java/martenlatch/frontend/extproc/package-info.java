/**
 * The frontend for other proxies, over gRPC (Envoy's external processing). Each attempt of a proxy's request is a
 * processing stream, for which the same load balancer decides. This package may use {@code frontend}, {@code request}
 * and {@code policy.api}; it sends nothing to endpoints itself.
 */
package martenlatch.frontend.extproc;
