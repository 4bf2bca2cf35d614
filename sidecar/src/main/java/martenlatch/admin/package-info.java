/**
 * The operators' HTTP API: endpoints disabled by hand, clients sent away, and what two processes of one sidecar share
 * on disk. It may use {@code request}, {@code policy.api}, {@code config} and {@code net}, and Netty; it knows no
 * frontend.
 */
package martenlatch.admin;
