/**
 * A fleet in simulated time: one thread, one clock, one seed. Sidecars are the program's own decisions and
 * their host, behind the interfaces that real sockets have; endpoints, discovery, clients and links are
 * models. It uses the host's words, links' models, scenarios and the history, and no socket.
 */
package martenlatch.fleet.sim;
