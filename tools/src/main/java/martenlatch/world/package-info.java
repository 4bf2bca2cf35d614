/**
 * Emulates the surroundings of a sidecar on the loopback interface: endpoints and discovery, written from the
 * protocol's specification, with scheduled faults, and a ledger of what endpoints did with each request. It does not
 * depend on the system under test.
 */
package martenlatch.world;
