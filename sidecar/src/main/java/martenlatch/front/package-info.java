/**
 * What all fronts share: how the head of a request becomes a call.
 * It may use the policy's words.
 */
package martenlatch.front;
