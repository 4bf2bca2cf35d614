/**
 * The HTTP admin API for operators: disabling endpoints, draining clients, and the state that two processes of one
 * sidecar share on disk. This package may depend on {@code request}, {@code policy.api}, {@code config}, {@code net}
 * and Netty, but not on any frontend.
 */
package martenlatch.admin;
