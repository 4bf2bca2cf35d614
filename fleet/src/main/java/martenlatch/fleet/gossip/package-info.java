/**
 * Compares the sidecars' gossip membership with plain heartbeats, phi accrual and plain SWIM in simulated time, over
 * impaired links and with pauses, kills and restarts. Depends on the link models, simulated time and the sidecar's
 * peers package, and opens no socket.
 */
package martenlatch.fleet.gossip;
