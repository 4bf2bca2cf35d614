/**
 * Reads settings and single fields of JSON input, with typed errors. It may use {@code policy.api}, a JSON parser and
 * Netty's address parser.
 */
package martenlatch.config;
