/**
 * Reads settings and single fields from JSON input and reports errors by field. May depend on {@code policy.api}, a
 * JSON parser and Netty's address parser.
 */
package martenlatch.config;
