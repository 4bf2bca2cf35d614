/**
 * The world that stands in for a service's surroundings, on loopback: endpoints and discovery, written from
 * the protocol's page, with scripted trouble, and a ledger of what really happened to each request. It knows
 * nothing of what stands before it.
 */
package martenlatch.world;
