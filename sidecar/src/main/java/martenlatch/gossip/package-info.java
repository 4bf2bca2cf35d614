/**
 * Membership among the sidecars of a tier: who is alive, as far as can be told, and what the members tell each other.
 * Protocol logic only: datagrams, time and random numbers come in, datagrams and changes go out; it uses no other
 * package and no I/O.
 */
package martenlatch.gossip;
