/**
 * An open-loop load generator: arrivals are scheduled in advance and do not wait for answers, latencies are measured
 * from the intended time, and the generator measures its own lateness. It does not depend on the system under test;
 * each protocol is a {@link martenlatch.load.Driver}.
 */
package martenlatch.load;
