/**
 * Simulated peers of the external processor, written from public specifications, for tests and for operators who want
 * to try it by hand. They use the published protocol and, of the product itself, only {@code Scheduler}.
 */
package martenlatch.world;
