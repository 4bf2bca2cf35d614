/**
 * The load generator: arrivals that are drawn before and wait for no answer, figures that count from the
 * intended time, and a judgement of the generator by itself. It knows nothing of what it loads; a protocol is
 * a {@link martenlatch.load.Driver}.
 */
package martenlatch.load;
