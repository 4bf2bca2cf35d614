package martenlatch.load;

/**
 * One arrival of the load: a client's demand for one answer, with the first request and all its retries.
 *
 * @param number sequence number from 0, in order of intended times
 * @param intendedNanos intended send time, since the start of the run
 * @param kind request class
 * @param key affinity key, or null
 * @param bodyBytes length of the request body
 * @param deadlineMs how long the client waits for the answer to each request
 */
public record Arrival(long number, long intendedNanos, LoadClass kind, String key, int bodyBytes, int deadlineMs) {}
