/**
 * Settings as they are written, made into the policy's words, with checks.
 * It may use the policy and a JSON parser.
 */
package martenlatch.config;
