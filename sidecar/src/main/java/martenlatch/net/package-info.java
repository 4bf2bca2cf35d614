/**
 * What all sockets of the process share.
 * It uses Netty and nothing of the other rooms but the host's words for time.
 */
package martenlatch.net;
