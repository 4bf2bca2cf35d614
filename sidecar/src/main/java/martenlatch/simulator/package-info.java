/**
 * The adapter to the simulator: the same load balancer on the simulator's wire format. It may use {@code policy} and
 * {@code config}, and a JSON parser.
 */
package martenlatch.simulator;
