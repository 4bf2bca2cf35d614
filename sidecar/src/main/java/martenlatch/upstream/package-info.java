/**
 * Connections to endpoints and attempts on them; it never tries again by itself.
 * It may use the host's words and the policy's.
 */
package martenlatch.upstream;
