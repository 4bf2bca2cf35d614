/**
 * Simulates a fleet with one thread, one virtual clock and one seed. Sidecars run the production request
 * tracking and endpoint list code behind its transport interfaces; endpoints, discovery, clients and links are
 * models. Depends on the sidecar's interfaces, the link models, scenarios and the history, and opens no socket.
 */
package martenlatch.fleet.sim;
