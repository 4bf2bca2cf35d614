/**
 * Membership among sidecars in simulated time: the program's own module beside plain heartbeats, phi accrual
 * and plain SWIM, over links with conduct, with pauses, kills and restarts. It uses links' models, simulated
 * time and the sidecar's room peers, and no socket.
 */
package martenlatch.fleet.gossip;
