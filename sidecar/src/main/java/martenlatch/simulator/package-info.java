/**
 * The adapter that connects the load balancer to the simulator's wire format. It may use {@code policy}, {@code config}
 * and a JSON parser.
 */
package martenlatch.simulator;
