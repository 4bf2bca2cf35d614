/**
 * The simulator's adapter: the same decisions on its wire.
 * It may use the policy and the configuration.
 */
package martenlatch.simulator;
