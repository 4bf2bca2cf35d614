/**
 * Stand-ins for what surrounds the product, written from public specifications: for tests, and for operators
 * who want to try it by hand. They use the published protocol and nothing of what they stand before but its
 * words for time.
 */
package martenlatch.world;
