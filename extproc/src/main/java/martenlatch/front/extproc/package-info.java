/**
 * Other proxies over gRPC: each of their requests is a consultation, answered by the same decisions.
 * It may use the host, the policy's words and what all fronts share; it sends nothing to endpoints itself.
 */
package martenlatch.front.extproc;
