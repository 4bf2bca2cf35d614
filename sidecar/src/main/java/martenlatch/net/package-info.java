/**
 * Provides the buffers and the event loop's clock and timers that all sockets of the process share. May depend on Netty
 * and on the scheduler interface of {@code request}.
 */
package martenlatch.net;
