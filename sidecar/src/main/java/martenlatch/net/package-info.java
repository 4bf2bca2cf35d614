/**
 * What all sockets of the process share: buffers, and the clock and timers of the event loop. It may use Netty and
 * {@code request}'s scheduler.
 */
package martenlatch.net;
