/**
 * Links between processes, with a conduct of their own for each direction. {@link
 * martenlatch.fleet.link.LinkModel} decides what becomes of each message and has no I/O, so that relays on
 * sockets and a simulation share it; relays use Netty and nothing of the other rooms.
 */
package martenlatch.fleet.link;
