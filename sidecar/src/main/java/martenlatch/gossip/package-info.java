/**
 * Gossip membership among the sidecars of a tier: which of them are alive, and the protocol that they use to find out.
 * The package holds protocol logic only: datagrams, times and random numbers are its inputs, datagrams and state
 * changes its outputs. It depends on no other package and does no I/O.
 */
package martenlatch.gossip;
