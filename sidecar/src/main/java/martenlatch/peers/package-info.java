/**
 * The other sidecars of the tier: who lives, as far as can be told, and what is said between them. Decisions
 * only: datagrams, time and chance come in, datagrams and changes go out; it uses no other room and no I/O.
 */
package martenlatch.peers;
