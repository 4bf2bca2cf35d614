/**
 * What operators tell a running sidecar: endpoints out by hand, clients sent away, and what two processes
 * of one sidecar share on disk. It may use the host's and the policy's words, the settings' checks and
 * Netty; it knows no front.
 */
package martenlatch.admin;
