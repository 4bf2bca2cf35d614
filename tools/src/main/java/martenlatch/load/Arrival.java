package martenlatch.load;

/**
 * What a client wants once, however many requests it takes to get it.
 *
 * @param number from 0, in order of intended times
 * @param intendedNanos when it is to be sent, since the start of the run
 * @param kind its class
 * @param key what it is about, or null
 * @param bodyBytes the length of its body
 * @param deadlineMs how long its client waits for the answer of each request
 */
public record Arrival(long number, long intendedNanos, LoadClass kind, String key, int bodyBytes, int deadlineMs) {}
