/**
 * Links between processes, with separate network conditions for each direction. {@link
 * martenlatch.fleet.link.LinkModel} decides when each message arrives and does no I/O, so socket relays and the
 * simulation share it. The relays depend on Netty and on no other package of this module.
 */
package martenlatch.fleet.link;
